#pragma once

#include "objectstore.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderdale {

/// A host's request for what a watcher of the store has received.
struct SharedRequest {
  Collection From = Collection::Catalogue;
  /// Revision after which changes are wanted; unset for all objects.
  std::optional<std::uint64_t> After;
  /// How long the watcher may hold the request until something changes.
  std::chrono::milliseconds Wait{};
};

/// A watcher's answer.
struct SharedAnswer {
  StoredObjects Objects;
  bool StoreAnswers = false;
  /// Time since the store answered the watcher, rounded up.
  std::chrono::milliseconds StoreAge{};
  /// Time since the store failed to answer it, rounded up; unset for never.
  std::optional<std::chrono::milliseconds> FailureAge;
  /// Time for which the watcher held the request, rounded down.
  std::chrono::milliseconds Held{};
};

/// First part of the HTTP target of all such requests.
constexpr std::string_view SharedStorePath = "/shared-store/";

/// \returns whether hosts share calls for \p Which.
bool isShared(Collection Which);

/// \returns the name of a shared collection in requests and log lines.
const char *sharedName(Collection Which);

std::string encodeSharedTarget(const SharedRequest &Request);

/// Errors: BadRequest.
Result<SharedRequest> decodeSharedTarget(std::string_view Target);

/// Encodes an object, or a change to one, as a JSON object.
std::string encodeSharedObject(const StoredObject &Object);

/// Encodes an answer as JSON.
/// \param Answer of which Objects.Objects is not used.
/// \param Members the objects, as members of a JSON array. Many hosts get the
///        same ones, so they are encoded once.
std::string encodeSharedAnswer(const SharedAnswer &Answer,
                               const std::string &Members);

/// Errors: BadRequest.
Result<SharedAnswer> decodeSharedAnswer(std::string_view Text);

} // namespace lavenderdale
