#include "mimosastage/jobs/start_windows.h"

#include <algorithm>

namespace mimosastage::jobs {

StartWindow& StartWindows::WindowOf(DaemonId carrier) {
  return this->windows.try_emplace(carrier, this->config).first->second;
}

std::size_t StartWindows::Size() const {
  if (this->windows.empty()) {
    return this->config.max_size;
  }
  std::size_t size = 0;
  for (const auto& [carrier, window] : this->windows) {
    size += window.Size();
  }
  return std::min(size, this->config.max_size);
}

std::size_t StartWindows::Room() const {
  const std::size_t left =
      this->config.max_size - std::min(this->config.max_size, this->open);
  if (this->windows.empty()) {
    return left;
  }
  std::size_t room = 0;
  for (const auto& [carrier, window] : this->windows) {
    room += window.Room();
  }
  return std::min(room, left);
}

std::map<DaemonId, std::size_t> StartWindows::Rooms() const {
  std::map<DaemonId, std::size_t> rooms;
  for (const auto& [carrier, window] : this->windows) {
    rooms.emplace(carrier, window.Room());
  }
  return rooms;
}

void StartWindows::OnOpened(DaemonId carrier) {
  ++this->open;
  this->WindowOf(carrier).OnOpened();
}

void StartWindows::OnClosed(DaemonId carrier) {
  --this->open;
  this->WindowOf(carrier).OnClosed();
}

void StartWindows::OnWait(std::optional<DaemonId> carrier, Duration wait,
                          TimePoint now) {
  if (carrier.has_value()) {
    this->WindowOf(*carrier).OnWait(wait, now);
    return;
  }
  for (auto& [daemon, window] : this->windows) {
    window.OnWait(wait, now);
  }
}

}  // namespace mimosastage::jobs
