#include "replicationsender.h"

#include "sqlite.h"

#include <sstream>

namespace lavenderdale::standin {
namespace {

constexpr std::size_t MaxRecordsPerSend = 200;
constexpr std::chrono::milliseconds KeepAliveInterval{100};
constexpr std::chrono::milliseconds BackupLockTimeout{5000};

} // namespace

std::string printHistory(const TimelineHistory &History) {
  std::ostringstream Text;
  for (const TimelineStart &Entry : History)
    Text << (Text.tellp() > 0 ? "," : "") << std::dec << Entry.Timeline << ':'
         << std::hex << Entry.Start;
  return Text.str();
}

std::optional<TimelineHistory> readHistory(const std::string &Text) {
  std::istringstream Input(Text);
  TimelineHistory History;
  TimelineStart Entry;
  char Colon = 0;
  while (Input >> std::dec >> Entry.Timeline >> Colon >> std::hex >>
         Entry.Start) {
    History.push_back(Entry);
    if (Input.peek() == ',')
      Input.get();
  }
  if (!Input.eof() || History.empty())
    return std::nullopt;
  return History;
}

void ReplicationSender::run() {
  if (this->State.cuts().Replication)
    return;
  this->Wire.put('R', MessageWriter().int32(0).body());
  this->Wire.put('Z', MessageWriter().byte('I').body());
  if (!this->flush())
    return;
  const auto Message = this->Wire.readMessage();
  if (!Message || Message->Type != 'Q')
    return;
  std::istringstream Words(MessageReader(Message->Body).text());
  std::string Command;
  std::string Position;
  std::string History;
  Words >> Command >> Position >> History;
  if (Command == "BASE_BACKUP")
    this->sendBackup();
  else if (Command == "START_REPLICATION")
    this->stream(Position, History);
  else
    this->sendFailure("unknown replication command");
}

void ReplicationSender::stream(const std::string &Position,
                               const std::string &History) {
  const auto Start = parseLsn(Position);
  const auto Known = readHistory(History);
  if (!Start || !Known)
    return this->sendFailure("invalid position or history");
  const TimelineHistory Own = this->State.history();
  if (const auto Refusal =
          refuseToFollow(Own, this->State.written(), *Known, *Start))
    return this->sendFailure(*Refusal);
  if (*Start < this->State.logStart())
    return this->sendFailure("the log at " + Position + " was removed");
  this->Wire.put('W', MessageWriter().byte(0).int16(0).body());
  this->putCopy(replicationtype::History, encodeHistory(Own));
  Lsn Sent = *Start;
  while (this->flush() && !this->mustEnd() && this->State.history() == Own) {
    const auto Records =
        this->State.readLog(Sent, MaxRecordsPerSend, KeepAliveInterval);
    for (const auto &Record : Records)
      this->putCopy(replicationtype::Record, encodeRecord(*Record));
    if (Records.empty())
      this->putCopy(replicationtype::KeepAlive, {});
    else
      Sent = Records.back()->End;
  }
}

void ReplicationSender::sendBackup() {
  // With the write lock, the replayed position belongs to the content.
  if (!this->State.Writer.acquire(BackupLockTimeout, this->Session.Terminated))
    return this->sendFailure("could not get the write lock in time");
  const TimelineHistory History = this->State.history();
  const Lsn Position = this->State.replayed();
  const std::string Image = dumpSqlite(openSqlite(this->State.File).get());
  this->State.Writer.release();
  this->Wire.put('H', MessageWriter().byte(0).int16(0).body());
  this->putCopy(replicationtype::History, encodeHistory(History));
  this->putCopy(replicationtype::Position,
                MessageWriter().int64(Position).body());
  this->putCopy(replicationtype::Image, Image);
  this->Wire.put('c', {});
  this->flush();
}

void ReplicationSender::sendFailure(const std::string &Message) {
  this->Wire.put('E', MessageWriter()
                          .byte('S')
                          .text("ERROR")
                          .byte('C')
                          .text("55000")
                          .byte('M')
                          .text(Message)
                          .byte('\0')
                          .body());
  this->flush();
}

void ReplicationSender::putCopy(char Type, const std::string &Body) {
  this->Wire.put('d', MessageWriter().byte(Type).bytes(Body).body());
}

bool ReplicationSender::flush() {
  this->State.waitWhileFrozen();
  return this->Wire.flush();
}

bool ReplicationSender::mustEnd() const {
  return this->Session.Terminated || this->State.stopping();
}

} // namespace lavenderdale::standin
