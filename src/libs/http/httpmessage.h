#pragma once

#include "base/result.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavenderdale {

/// Header fields in order of arrival; names compare without case.
class HttpFields {
public:
  void add(std::string Name, std::string Value);

  /// The value of the first field called \p Name, or nullptr.
  const std::string *find(std::string_view Name) const;

  /// Number of fields called \p Name.
  std::size_t count(std::string_view Name) const;

  const std::vector<std::pair<std::string, std::string>> &all() const {
    return this->Fields;
  }

private:
  std::vector<std::pair<std::string, std::string>> Fields;
};

/// A request as read by HttpServer or to be sent by HttpClient.
struct HttpRequest {
  std::string Method;
  std::string Target;
  HttpFields Fields;
  std::string Body;
};

/// A response as read by HttpClient or to be sent by HttpServer.
struct HttpResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  HttpFields Fields;
  std::string Body;
  bool Close = false; ///< Close the connection after this response.
};

/// Builds the RFC 9457 problem document of \p Failure.
HttpResponse problemResponse(const Error &Failure);

/// Reads a problem document back into an Error. A response that is not one
/// becomes Internal.
Error errorFromResponse(const HttpResponse &Response);

} // namespace lavenderdale
