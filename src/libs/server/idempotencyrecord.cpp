#include "idempotencyrecord.h"

#include <openssl/sha.h>

#include <array>
#include <chrono>
#include <string_view>

namespace lavenderdale {

const char *const CreateRequestsTableSql =
    "CREATE TABLE IF NOT EXISTS lavenderdale_requests ("
    "workspace text NOT NULL, idempotency_key text NOT NULL, "
    "fingerprint text NOT NULL, answer text, created bigint NOT NULL, "
    "PRIMARY KEY (workspace, idempotency_key))";

Statement insertRecordStatement(const ExecutionRequest &Request,
                                std::string Fingerprint, std::string Created) {
  return {"INSERT INTO lavenderdale_requests (workspace, idempotency_key, "
          "fingerprint, created) VALUES ($1, $2, $3, $4)",
          {Request.Workspace, Request.IdempotencyKey, std::move(Fingerprint),
           std::move(Created)}};
}

Statement storeAnswerStatement(const ExecutionRequest &Request,
                               std::optional<std::string> Body) {
  return {"UPDATE lavenderdale_requests SET answer = $3 WHERE workspace = $1 "
          "AND idempotency_key = $2",
          {Request.Workspace, Request.IdempotencyKey, std::move(Body)}};
}

Statement selectRecordStatement(const ExecutionRequest &Request) {
  return {"SELECT fingerprint, answer FROM lavenderdale_requests WHERE "
          "workspace = $1 AND idempotency_key = $2",
          {Request.Workspace, Request.IdempotencyKey}};
}

std::string fingerprintOf(const Statement &Sql) {
  std::string Text = Sql.Sql;
  for (const std::optional<std::string> &Param : Sql.Params) {
    Text += '\0';
    Text += Param ? "=" + *Param : std::string("-");
  }
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest.data());
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (const unsigned char Byte : Digest) {
    Hex += Digits[Byte >> 4U];
    Hex += Digits[Byte & 15U];
  }
  return Hex;
}

std::string unixSecondsNow() {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(
      std::chrono::duration_cast<std::chrono::seconds>(Since).count());
}

} // namespace lavenderdale
