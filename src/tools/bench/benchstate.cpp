#include "benchstate.h"

namespace lavenderdale::bench {

/// Nothing is sent to an upstream.
class BenchState::NoProtocol : public UpstreamProtocol {
public:
  std::string encodeGreeting(const UpstreamGreeting &) const override {
    return {};
  }
  void encode(const UpstreamCommand &, std::string &) const override {}
  Progress decode(std::string_view, UpstreamReply &) const override {
    return Progress::Malformed;
  }
  Result<UpstreamStatus> decodeStatus(const UpstreamReply &) const override {
    return failure(ErrorKind::BadRequest, "nothing was asked");
  }
};

BenchState::BenchState(const FleetShape &Shape)
    : Shape(Shape), Protocol(std::make_unique<NoProtocol>()),
      Entries(upstreams(Shape)),
      State(this->Context.get_executor(), *this->Protocol,
            {hostName(0), "zone-0", 1, 0}, {0.1, 20}) {
  for (std::size_t Index = 0; Index < Shape.Hosts; ++Index) {
    this->Reports.push_back(hostReport(Shape, Index, 0, true));
    this->Reports.push_back(hostReport(Shape, Index, 0, false));
  }
}

BenchState::~BenchState() { this->State.stop(); }

void BenchState::enterService() {
  this->State.offerCatalogue(catalogue(this->Shape, 1), "benchmark");
  for (const UpstreamEntry &Each : this->Entries)
    this->State.directory().put(Each);
  this->State.applyUpstreams();
  this->State.fleet().setRegistered(registrations(this->Shape.Hosts),
                                    BootClock::now());
  for (std::size_t Index = 1; Index < this->Shape.Hosts; ++Index)
    this->report(Index, true);
  this->State.applyFleet();
}

void BenchState::report(std::size_t Index, bool Proven, bool Leaving) {
  HostReport &Each = this->Reports[2 * Index + (Proven ? 0 : 1)];
  Each.Sequence = ++this->Sequence;
  Each.Leaving = Leaving;
  this->State.applyReport(Each);
}

} // namespace lavenderdale::bench
