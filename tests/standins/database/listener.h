#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace lavenderdale::standin {

/// A listening TCP socket that can be closed and opened again on the same port.
class Listener {
public:
  /// \param Port 0: the kernel chooses.
  /// \throws std::runtime_error if the port cannot be bound.
  Listener(const std::string &Address, std::uint16_t Port);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  std::uint16_t port() const { return this->Port; }

  /// Waits shortly for a connection.
  /// \returns its descriptor, or -1 if there is none.
  int accept();

  /// While it is not open, connections are refused.
  void setOpen(bool Open);

private:
  int bindSocket() const;

  std::string Address;
  std::uint16_t Port;
  std::mutex Mutex;
  int Reserved = -1; // Bound but not listening, keeps the port while closed.
  int Fd = -1;
};

} // namespace lavenderdale::standin
