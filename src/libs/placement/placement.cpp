#include "placement.h"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <set>
#include <string>
#include <tuple>

namespace lavenderdale {
namespace {

constexpr std::size_t RelayCount = 2;
constexpr std::size_t MonitorCount = 3;
constexpr std::size_t MinMonitorCount = 2;
constexpr std::string_view PromoterRole = "promoter";

using HostRefs = std::vector<const PlacementHost *>;

// Computes SHA-256 with an algorithm that is looked up once. SHA256() looks it
// up for each hash, which takes three times as long as the hash itself.
class Hasher {
public:
  using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

  Digest hash(std::string_view Role, std::string_view Key,
              std::string_view Host) {
    constexpr char Separator = '\0';
    this->Text.clear();
    this->Text.append(Role).push_back(Separator);
    this->Text.append(Key).push_back(Separator);
    this->Text.append(Host);
    Digest Result{};
    if (!this->Algorithm || !this->Context ||
        EVP_DigestInit_ex2(this->Context.get(), this->Algorithm.get(),
                           nullptr) != 1 ||
        EVP_DigestUpdate(this->Context.get(), this->Text.data(),
                         this->Text.size()) != 1 ||
        EVP_DigestFinal_ex(this->Context.get(), Result.data(), nullptr) != 1)
      SHA256(reinterpret_cast<const unsigned char *>(this->Text.data()),
             this->Text.size(), Result.data());
    return Result;
  }

private:
  struct Free {
    void operator()(EVP_MD *Each) const { EVP_MD_free(Each); }
    void operator()(EVP_MD_CTX *Each) const { EVP_MD_CTX_free(Each); }
  };

  std::unique_ptr<EVP_MD, Free> Algorithm{
      EVP_MD_fetch(nullptr, "SHA256", nullptr)};
  std::unique_ptr<EVP_MD_CTX, Free> Context{EVP_MD_CTX_new()};
  std::string Text; ///< Reused, because most texts need an allocation.
};

// Returns the first 8 bytes of SHA-256 in big-endian order. The parts are
// separated by a byte that names cannot contain, so different parts never
// yield the same hash input.
std::uint64_t stableHash(std::string_view Role, std::string_view Key,
                         std::string_view Host) {
  thread_local Hasher OfThread;
  const Hasher::Digest Digest = OfThread.hash(Role, Key, Host);
  std::uint64_t Value = 0;
  for (std::size_t I = 0; I < sizeof Value; ++I)
    Value = Value << 8U | Digest[I];
  return Value;
}

// Hosts of equal capacity have equal weights, so their hashes decide alone.
double weightedScore(std::uint64_t Hash, double Capacity) {
  constexpr double HashRange = 0x1p64;
  const double Uniform = (static_cast<double>(Hash) + 1) / (HashRange + 2);
  return -std::pow(Capacity, CapacityExponent) / std::log(Uniform);
}

HostRefs hostsOf(std::string_view FailureDomain,
                 std::span<const PlacementHost> Hosts, bool Inside = true) {
  HostRefs Found;
  for (const PlacementHost &Host : Hosts)
    if ((Host.FailureDomain == FailureDomain) == Inside)
      Found.push_back(&Host);
  return Found;
}

// Sorts by descending hash; hosts with equal hashes, by name.
HostRefs ranked(const HostRefs &Hosts, std::string_view Role,
                std::string_view Key) {
  std::vector<std::pair<std::uint64_t, const PlacementHost *>> Weighted;
  Weighted.reserve(Hosts.size());
  for (const PlacementHost *Host : Hosts)
    Weighted.emplace_back(stableHash(Role, Key, Host->Name), Host);
  std::ranges::sort(Weighted, [](const auto &Left, const auto &Right) {
    if (Left.first != Right.first)
      return Left.first > Right.first;
    return Left.second->Name < Right.second->Name;
  });
  HostRefs Result;
  Result.reserve(Weighted.size());
  for (const auto &[Weight, Host] : Weighted)
    Result.push_back(Host);
  return Result;
}

void appendNames(std::vector<std::string> &Names, const HostRefs &Hosts,
                 std::size_t Limit) {
  for (const PlacementHost *Host : Hosts) {
    if (Names.size() >= Limit)
      return;
    Names.push_back(Host->Name);
  }
}

// With distances from the cube root, any two hosts of a ring of 70 are at most
// 10 steps apart.
std::array<std::size_t, MonitorCount> ringDistances(std::size_t RingSize) {
  const double Root = std::cbrt(static_cast<double>(RingSize));
  const auto Middle =
      std::max<std::size_t>(2, static_cast<std::size_t>(std::lround(Root)));
  const auto Long = std::max<std::size_t>(
      Middle + 1, static_cast<std::size_t>(std::lround(Root * Root)));
  return {1, Middle, Long};
}

std::vector<std::string> neighboursOf(const PlacementHost &Host,
                                      std::span<const PlacementHost> Hosts) {
  const HostRefs Ring =
      ranked(hostsOf(Host.FailureDomain, Hosts), "ring", Host.FailureDomain);
  const auto Self = std::ranges::find(Ring, Host.Name, &PlacementHost::Name);
  std::vector<std::string> Names;
  if (Self == Ring.end())
    return Names;
  const auto Position = static_cast<std::size_t>(Self - Ring.begin());
  for (const std::size_t Distance : ringDistances(Ring.size()))
    if (Distance < Ring.size())
      Names.push_back(Ring[(Position + Distance) % Ring.size()]->Name);
  return Names;
}

} // namespace

bool RankedHolder::operator<(const RankedHolder &Other) const {
  return std::tie(this->SameDomain, this->Score, this->Weight, Other.Host) <
         std::tie(Other.SameDomain, Other.Score, Other.Weight, this->Host);
}

RankedHolder rankHolder(std::string_view Upstream,
                        std::string_view FailureDomain,
                        const PlacementHost &Host) {
  const std::uint64_t Hash = stableHash("holder", Upstream, Host.Name);
  const double Capacity = FailureDomain.empty() ? 1 : Host.Capacity;
  return {Host.FailureDomain == FailureDomain, weightedScore(Hash, Capacity),
          Hash, Host.Name};
}

std::vector<std::string> holdersOf(std::string_view Upstream,
                                   std::string_view FailureDomain,
                                   std::span<const PlacementHost> Hosts) {
  std::vector<std::string> Names;
  appendNames(Names, ranked(hostsOf(FailureDomain, Hosts), "holder", Upstream),
              HolderCount);
  if (Names.size() < HolderCount)
    appendNames(
        Names, ranked(hostsOf(FailureDomain, Hosts, false), "holder", Upstream),
        HolderCount);
  return Names;
}

std::optional<std::string> rateOwnerOf(std::string_view Workspace,
                                       std::string_view FailureDomain,
                                       std::span<const PlacementHost> Hosts) {
  const HostRefs Ranked =
      ranked(hostsOf(FailureDomain, Hosts), "rate", Workspace);
  if (Ranked.empty())
    return std::nullopt;
  return Ranked.front()->Name;
}

std::vector<std::string> relaysOf(std::string_view FailureDomain,
                                  std::span<const PlacementHost> Hosts) {
  std::vector<std::string> Names;
  appendNames(Names,
              ranked(hostsOf(FailureDomain, Hosts), "relay", FailureDomain),
              RelayCount);
  return Names;
}

std::vector<std::string> monitorsOf(const PlacementHost &Host,
                                    std::span<const PlacementHost> Hosts) {
  std::vector<std::string> Names = neighboursOf(Host, Hosts);
  if (Names.size() < MinMonitorCount)
    appendNames(
        Names,
        ranked(hostsOf(Host.FailureDomain, Hosts, false), "monitor", Host.Name),
        MinMonitorCount);
  return Names;
}

std::vector<std::string> promotionOrder(std::string_view Group,
                                        std::span<const PlacementHost> Hosts) {
  HostRefs All;
  for (const PlacementHost &Host : Hosts)
    All.push_back(&Host);
  const HostRefs Ranked = ranked(All, PromoterRole, Group);
  std::set<std::string_view> Domains;
  std::vector<std::string> Names;
  std::vector<std::string> Rest;
  for (const PlacementHost *Host : Ranked) {
    const bool FirstOfDomain = Domains.insert(Host->FailureDomain).second;
    (FirstOfDomain ? Names : Rest).push_back(Host->Name);
  }
  Names.insert(Names.end(), Rest.begin(), Rest.end());
  return Names;
}

std::uint64_t promoterWeight(std::string_view Group, std::string_view Host) {
  return stableHash(PromoterRole, Group, Host);
}

std::vector<std::string> watchersOf(std::span<const PlacementUpstream> Group,
                                    std::span<const PlacementHost> Hosts) {
  std::vector<std::string> Names;
  for (const PlacementUpstream &Member : Group) {
    const std::vector<std::string> Holders =
        holdersOf(Member.Name, Member.FailureDomain, Hosts);
    if (!Holders.empty() &&
        std::ranges::find(Names, Holders.front()) == Names.end())
      Names.push_back(Holders.front());
  }
  return Names;
}

} // namespace lavenderdale
