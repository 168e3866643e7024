#include "tests/system/support/flood.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>
#include <utility>

namespace mimosastage::testing {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kNoProgress{2};
constexpr seconds kSettleTime{1};
constexpr int kPollMs = 20;

sockaddr_in ParseEndpoint(const std::string& endpoint) {
  const auto colon = endpoint.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1))));
  inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
}

}  // namespace

Flood::Flood(const std::string& endpoint, std::size_t connections,
             FloodPayload payload)
    : payload(std::move(payload)) {
  const sockaddr_in address = ParseEndpoint(endpoint);
  for (std::size_t i = 0; i < connections; ++i) {
    Connection connection;
    connection.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (connection.descriptor < 0) {
      throw std::runtime_error("a test has no free descriptor");
    }
    // A small window keeps unread answers in the sender.
    const int window = 4096;
    setsockopt(connection.descriptor, SOL_SOCKET, SO_RCVBUF, &window,
               sizeof(window));
    if (connect(connection.descriptor,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
      connection.done = true;
    }
    this->connections.push_back(connection);
  }
}

Flood::~Flood() {
  for (const Connection& connection : this->connections) {
    close(connection.descriptor);
  }
}

std::size_t Flood::SendSome(Connection& connection) const {
  constexpr std::size_t kMostAtOnce = 1U << 20U;
  std::size_t total = 0;
  while (total < kMostAtOnce) {
    if (connection.started && connection.blocks_sent == this->payload.blocks) {
      connection.done = true;
      break;
    }
    const std::string& part =
        connection.started ? this->payload.block : this->payload.start;
    const ssize_t count =
        send(connection.descriptor, part.data() + connection.sent_of_part,
             part.size() - connection.sent_of_part, MSG_NOSIGNAL);
    if (count < 0) {
      connection.done = !WouldBlock();
      break;
    }
    total += static_cast<std::size_t>(count);
    connection.sent_of_part += static_cast<std::size_t>(count);
    if (connection.sent_of_part == part.size()) {
      connection.sent_of_part = 0;
      connection.blocks_sent += connection.started ? 1 : 0;
      connection.started = true;
    }
  }
  return total;
}

void Flood::Send(const std::function<void()>& sample) {
  this->SendAll(sample);
  // The process accepts and reads on for a while.
  const auto end = steady_clock::now() + kSettleTime;
  while (steady_clock::now() < end) {
    sample();
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
}

void Flood::SendAll(const std::function<void()>& sample) {
  auto last_progress = steady_clock::now();
  while (steady_clock::now() - last_progress < kNoProgress) {
    sample();
    std::vector<pollfd> waiting;
    std::vector<Connection*> owners;
    for (Connection& connection : this->connections) {
      if (!connection.done) {
        waiting.push_back(pollfd{connection.descriptor, POLLOUT, 0});
        owners.push_back(&connection);
      }
    }
    if (waiting.empty()) {
      return;
    }
    poll(waiting.data(), waiting.size(), kPollMs);
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i].revents != 0 && this->SendSome(*owners[i]) > 0) {
        last_progress = steady_clock::now();
      }
    }
  }
}

EndlessAnswerServer::EndlessAnswerServer(const std::string& address,
                                         std::size_t bytes)
    : bytes(bytes),
      listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)),
      stop_event(eventfd(0, EFD_NONBLOCK)) {
  sockaddr_in own = ParseEndpoint(address + ":0");
  socklen_t size = sizeof(own);
  if (bind(this->listener, reinterpret_cast<const sockaddr*>(&own), size) !=
          0 ||
      listen(this->listener, SOMAXCONN) != 0 ||
      getsockname(this->listener, reinterpret_cast<sockaddr*>(&own), &size) !=
          0) {
    throw std::runtime_error("a test server can't listen on " + address);
  }
  this->port = ntohs(own.sin_port);
  this->thread = std::thread([this] { this->Run(); });
}

EndlessAnswerServer::~EndlessAnswerServer() {
  eventfd_write(this->stop_event, 1);
  this->thread.join();
  close(this->listener);
  close(this->stop_event);
}

void EndlessAnswerServer::Run() {
  constexpr std::size_t kChunk = 1U << 16U;
  const std::string start =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "10000\r\n" + std::string(kChunk, 'x') + "\r\n";
  const std::size_t total = start.size() + this->bytes / kChunk * chunk.size();
  struct Peer {
    bool requested = false;
    std::size_t sent = 0;
  };
  std::map<int, Peer> peers;
  while (true) {
    std::vector<pollfd> waiting{{this->stop_event, POLLIN, 0},
                                {this->listener, POLLIN, 0}};
    for (const auto& [descriptor, peer] : peers) {
      const bool sends = peer.requested && peer.sent < total;
      waiting.push_back(pollfd{descriptor, POLLIN, 0});
      if (sends) {
        waiting.back().events |= POLLOUT;
      }
    }
    poll(waiting.data(), waiting.size(), -1);
    if (waiting[0].revents != 0) {
      break;
    }
    for (std::size_t i = 2; i < waiting.size(); ++i) {
      const int descriptor = waiting[i].fd;
      Peer& peer = peers[descriptor];
      bool closed = false;
      if ((waiting[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        char buffer[4096];
        const ssize_t count = recv(descriptor, buffer, sizeof(buffer), 0);
        closed = count == 0 || (count < 0 && !WouldBlock());
        peer.requested = true;
      }
      if (!closed && (waiting[i].revents & POLLOUT) != 0) {
        const bool in_start = peer.sent < start.size();
        const std::size_t at =
            in_start ? peer.sent : (peer.sent - start.size()) % chunk.size();
        const std::string& part = in_start ? start : chunk;
        const ssize_t count =
            send(descriptor, part.data() + at, part.size() - at, MSG_NOSIGNAL);
        closed = count < 0 && !WouldBlock();
        peer.sent += count > 0 ? static_cast<std::size_t>(count) : 0;
      }
      if (closed) {
        close(descriptor);
        peers.erase(descriptor);
      }
    }
    if (waiting[1].revents != 0) {
      const int accepted =
          accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
      if (accepted >= 0) {
        peers[accepted] = Peer{};
      }
    }
  }
  for (const auto& [descriptor, peer] : peers) {
    close(descriptor);
  }
}

std::size_t PeakResidentBytes(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "VmHWM:") {
      std::size_t kilobytes = 0;
      file >> kilobytes;
      return kilobytes << 10U;
    }
  }
  return 0;
}

void ResetPeakResidentBytes(pid_t process) {
  std::ofstream("/proc/" + std::to_string(process) + "/clear_refs") << "5";
}

std::size_t OpenDescriptors(pid_t process) {
  std::error_code ignored;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator
           entry("/proc/" + std::to_string(process) + "/fd", ignored),
       end;
       entry != end; entry.increment(ignored)) {
    ++count;
  }
  return count;
}

}  // namespace mimosastage::testing
