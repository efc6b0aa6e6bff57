#include "queuediscipline.h"

namespace lavenderdale {
namespace {

class Fair final : public QueueDiscipline {
public:
  QueuePlace placeOf(const std::string &Workspace,
                     QueueClass Class) const override {
    return {Class, Workspace};
  }
};

class Fifo final : public QueueDiscipline {
public:
  QueuePlace placeOf(const std::string & /*Workspace*/,
                     QueueClass /*Class*/) const override {
    return {};
  }
};

} // namespace

const QueueDiscipline &fairDiscipline() {
  static const Fair Discipline;
  return Discipline;
}

const QueueDiscipline &fifoDiscipline() {
  static const Fifo Discipline;
  return Discipline;
}

} // namespace lavenderdale
