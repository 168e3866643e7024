#include "mimosastage/backend_servers/internal/socket_poller.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace mimosastage::internal {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxEventsPerWait = 256;
/// Registration number of the descriptor that Interrupt writes to.
constexpr std::uint32_t kInterruptRegistration = 0;

epoll_event MakeEvent(int descriptor, std::uint32_t registration,
                      std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = (std::uint64_t{registration} << 32U) |
                   static_cast<std::uint32_t>(descriptor);
  return event;
}

int ThrowIfInvalid(int descriptor, const char* what) {
  if (descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), what);
  }
  return descriptor;
}

}  // namespace

SocketPoller::SocketPoller()
    : epoll(ThrowIfInvalid(epoll_create1(EPOLL_CLOEXEC), "epoll_create1")),
      interrupt(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  // Edge-triggered: each write is reported once, and the counter needs no
  // reset.
  epoll_event event =
      MakeEvent(this->interrupt, kInterruptRegistration, EPOLLIN | EPOLLET);
  if (this->interrupt < 0 ||
      epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->interrupt, &event) != 0) {
    const std::error_code error(errno, std::generic_category());
    close(this->interrupt);
    close(this->epoll);
    throw std::system_error(error, "eventfd");
  }
}

SocketPoller::~SocketPoller() {
  close(this->interrupt);
  close(this->epoll);
}

void SocketPoller::Watch(int socket, bool read, bool write) {
  Entry& entry = this->entries[socket];
  entry.wanted = (read ? std::uint32_t{EPOLLIN} : 0U) |
                 (write ? std::uint32_t{EPOLLOUT} : 0U);
  if (entry.wanted != 0 && entry.wanted != entry.registered) {
    this->Register(socket, entry);
  }
}

void SocketPoller::Register(int socket, Entry& entry) {
  const bool is_new = entry.registered == 0;
  if (is_new) {
    // Skips kInterruptRegistration when the counter wraps around.
    this->last_registration = std::max(1U, this->last_registration + 1);
    entry.registration = this->last_registration;
  }
  epoll_event event = MakeEvent(socket, entry.registration, entry.wanted);
  int result = epoll_ctl(this->epoll, is_new ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
                         socket, &event);
  if (result != 0 && is_new && errno == EEXIST) {
    result = epoll_ctl(this->epoll, EPOLL_CTL_MOD, socket, &event);
  }
  // Fails only if the kernel lacks memory. The exchange then ends by its
  // timeout, or the next Watch succeeds.
  entry.registered = result == 0 ? entry.wanted : 0;
}

void SocketPoller::Unregister(int socket, Entry& entry) const {
  epoll_event unused{};
  epoll_ctl(this->epoll, EPOLL_CTL_DEL, socket, &unused);
  entry.registered = 0;
}

void SocketPoller::Forget(int socket) {
  const auto found = this->entries.find(socket);
  if (found == this->entries.end()) {
    return;
  }
  if (found->second.registered != 0) {
    this->Unregister(socket, found->second);
  }
  this->entries.erase(found);
}

void SocketPoller::Wait(
    std::optional<std::chrono::steady_clock::duration> timeout,
    const Handler& handle) {
  int timeout_ms = -1;
  if (timeout.has_value()) {
    constexpr milliseconds kMaxTimeout = std::chrono::hours(1);
    timeout_ms =
        static_cast<int>(std::clamp(std::chrono::ceil<milliseconds>(*timeout),
                                    milliseconds::zero(), kMaxTimeout)
                             .count());
  }
  std::array<epoll_event, kMaxEventsPerWait> ready;
  const int count =
      epoll_wait(this->epoll, ready.data(), kMaxEventsPerWait, timeout_ms);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = ready[static_cast<std::size_t>(i)];
    const auto socket = static_cast<int>(event.data.u64 & 0xFFFF'FFFFU);
    const auto registration = static_cast<std::uint32_t>(event.data.u64 >> 32U);
    const auto found = this->entries.find(socket);
    if (found == this->entries.end() ||
        found->second.registration != registration) {
      continue;
    }
    Entry& entry = found->second;
    if (entry.wanted == 0) {
      this->Unregister(socket, entry);
      continue;
    }
    const bool failed = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    const std::uint32_t happened =
        entry.wanted & (failed ? entry.wanted : event.events);
    if (happened != 0) {
      handle(SocketEvent{socket, (happened & EPOLLIN) != 0,
                         (happened & EPOLLOUT) != 0});
    }
  }
}

void SocketPoller::Interrupt() const {
  constexpr std::uint64_t kOne = 1;
  // Fails only if the counter is at its maximum; Wait then ends anyway.
  static_cast<void>(write(this->interrupt, &kOne, sizeof(kOne)) == 0);
}

}  // namespace mimosastage::internal
