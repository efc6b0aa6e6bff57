#pragma once

#include "sqlsession.h"
#include "wireconnection.h"

#include <map>

namespace lavenderdale::standin {

/// Serves one connection: startup, simple and extended queries, replication.
class ClientSession {
public:
  /// Takes over the descriptor.
  ClientSession(DatabaseState &State, int Fd);
  ~ClientSession();
  ClientSession(const ClientSession &) = delete;
  ClientSession &operator=(const ClientSession &) = delete;

  /// Returns when the connection has ended.
  void run();

private:
  using Handler = void (ClientSession::*)(MessageReader &);
  struct HandlerRow;
  struct Portal {
    std::string Sql;
    std::vector<std::optional<std::string>> Params;
    bool IsNamed = false;      // Of a named statement.
    bool WantsColumns = false; // Describe came; answered with the first row.
  };

  bool startUp();
  bool admit(const std::map<std::string, std::string> &Params);
  void greet();
  void serve();
  void handle(const WireMessage &Message);

  void query(MessageReader &Body);
  void parse(MessageReader &Body);
  void bind(MessageReader &Body);
  void describe(MessageReader &Body);
  void execute(MessageReader &Body);
  void closeNamed(MessageReader &Body);
  void sync(MessageReader &Body);
  void flushOutput(MessageReader &Body);

  void putResult(const SqlResult &Result, bool WithColumns);
  void putColumns(const SqlResult &Result);
  void putFailure(const SqlFailure &Failure, const char *Severity = "ERROR");
  void putReady();
  void failExtended(const SqlFailure &Failure);
  bool flush();

  DatabaseState &State;
  std::shared_ptr<SessionInfo> Info;
  WireConnection Wire;
  std::unique_ptr<SqlSession> Sql;
  std::map<std::string, std::string> Statements;
  std::map<std::string, Portal> Portals;
  bool SkipUntilSync = false;
  bool Ended = false;
};

} // namespace lavenderdale::standin
