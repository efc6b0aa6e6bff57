#include "timelinehistory.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace lavenderdale::standin {
namespace {

constexpr unsigned HalfBits = 32;
constexpr std::uint64_t LowHalf = 0xFFFFFFFF;
constexpr Lsn SegmentBytes = Lsn{16} << 20; // PostgreSQL's default.
constexpr Lsn SegmentsPerFile = (LowHalf + 1) / SegmentBytes;
constexpr std::size_t MaxPrinted = 32;

} // namespace

std::string formatLsn(Lsn Position) {
  std::array<char, MaxPrinted> Text{};
  std::snprintf(Text.data(), Text.size(), "%" PRIX64 "/%08" PRIX64,
                Position >> HalfBits, Position & LowHalf);
  return Text.data();
}

std::optional<Lsn> parseLsn(const std::string &Text) {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  int Used = 0;
  const int Count = std::sscanf(Text.c_str(), "%8" SCNx64 "/%8" SCNx64 "%n",
                                &High, &Low, &Used);
  if (Count != 2 || static_cast<std::size_t>(Used) != Text.size())
    return std::nullopt;
  return (High << HalfBits) | Low;
}

std::string walFileName(std::uint32_t Timeline, Lsn Position) {
  const Lsn Segment = Position / SegmentBytes;
  std::array<char, MaxPrinted> Text{};
  std::snprintf(Text.data(), Text.size(),
                "%08" PRIX32 "%08" PRIX64 "%08" PRIX64, Timeline,
                Segment / SegmentsPerFile, Segment % SegmentsPerFile);
  return Text.data();
}

std::optional<std::string> refuseToFollow(const TimelineHistory &Primary,
                                          Lsn PrimaryEnd,
                                          const TimelineHistory &Replica,
                                          Lsn Position) {
  if (Replica.size() > Primary.size())
    return "the primary's timeline is older than the replica's";
  if (!std::equal(Replica.begin(), Replica.end(), Primary.begin()))
    return "the replica's timeline is not in the primary's history";
  const Lsn End = Primary.size() > Replica.size()
                      ? Primary[Replica.size()].Start
                      : PrimaryEnd;
  if (Position > End)
    return "the replica's position " + formatLsn(Position) +
           " is past the end of its timeline at the primary, " + formatLsn(End);
  return std::nullopt;
}

} // namespace lavenderdale::standin
