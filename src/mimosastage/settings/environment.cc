#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include "mimosastage/settings/settings.h"

namespace mimosastage {
namespace {

std::error_code LastError() { return {errno, std::generic_category()}; }

/// Creates, writes and removes a file, because permission bits alone don't show
/// a read-only or full file system.
std::error_code TryWrite(const std::filesystem::path& folder) {
  std::string name = (folder / ".write-check-XXXXXX").string();
  const int file = mkostemp(name.data(), O_CLOEXEC);
  if (file < 0) {
    return LastError();
  }
  const bool written = write(file, "x", 1) == 1;
  const std::error_code error = written ? std::error_code() : LastError();
  close(file);
  unlink(name.c_str());
  return error;
}

std::error_code BindAndListen(int descriptor, const SocketAddress& address) {
  // Without SO_REUSEADDR, connections in TIME_WAIT of a listener that has just
  // ended would make its port appear in use.
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_storage storage{};
  socklen_t size = sizeof(sockaddr_in);
  if (auto* ipv4 = reinterpret_cast<sockaddr_in*>(&storage);
      inet_pton(AF_INET, address.address.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(address.port);
  } else {
    auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&storage);
    inet_pton(AF_INET6, address.address.c_str(), &ipv6->sin6_addr);
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(address.port);
    size = sizeof(sockaddr_in6);
  }
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&storage), size) != 0 ||
      listen(descriptor, 1) != 0) {
    return LastError();
  }
  return {};
}

std::error_code TryListen(const SocketAddress& address) {
  const bool ipv6 = address.address.find(':') != std::string::npos;
  const int descriptor =
      socket(ipv6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return LastError();
  }
  const std::error_code error = BindAndListen(descriptor, address);
  close(descriptor);
  return error;
}

Problem MakeAddressProblem(const std::string& field,
                           const SocketAddress& address,
                           std::error_code error) {
  const std::string found = address.str() + " (" + error.message() + ")";
  if (error == std::errc::address_in_use) {
    return {SettingsError::kAddressNotUsable, field, found,
            "stop the process that uses the port, or name another port"};
  }
  return {
      SettingsError::kAddressNotUsable, field, found,
      "name an address of this instance and a port that the daemon may bind"};
}

}  // namespace

std::vector<SettingsProblem> CheckEnvironment(const Settings& settings,
                                              const std::string& file) {
  std::vector<SettingsProblem> problems;
  if (!settings.data_dir.empty()) {
    if (const std::error_code error = TryWrite(settings.data_dir)) {
      problems.push_back(
          {file,
           {SettingsError::kDataDir, "data_dir",
            settings.data_dir + " (" + error.message() + ")",
            "create the folder and let the daemon's user write to it"}});
    }
  }
  const std::string link_field =
      "daemons[" + std::to_string(static_cast<std::size_t>(settings.self)) +
      "].link";
  const std::pair<std::string, SocketAddress> listeners[] = {
      {"callers_listen", settings.callers_listen},
      {"operators_listen", settings.operators_listen},
      {link_field, settings.Self().link}};
  for (const auto& [field, address] : listeners) {
    if (address.port == 0) {
      continue;
    }
    if (const std::error_code error = TryListen(address)) {
      problems.push_back({file, MakeAddressProblem(field, address, error)});
    }
  }
  return problems;
}

}  // namespace mimosastage
