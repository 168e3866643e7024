#ifndef MIMOSASTAGE_STAND_INS_FAKE_BACKEND_SERVER_PROCESS_H_
#define MIMOSASTAGE_STAND_INS_FAKE_BACKEND_SERVER_PROCESS_H_

#include <curl/curl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace mimosastage {

/// A running fake_backend_server process; the destructor kills it.
class FakeBackendServerProcess {
 public:
  /// `flags` as on the command line, such as "--name=a".
  explicit FakeBackendServerProcess(std::vector<std::string> flags = {}) {
    flags.insert(flags.begin(),
                 std::string(MIMOSASTAGE_BIN_DIR) + "/fake_backend_server");
    std::vector<char*> arguments;
    arguments.reserve(flags.size() + 1);
    for (std::string& flag : flags) {
      arguments.push_back(flag.data());
    }
    arguments.push_back(nullptr);
    std::array<int, 2> output{};
    if (pipe(output.data()) != 0) {
      throw std::runtime_error(
          "failed to create a pipe for fake_backend_server");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, output[0]);
    const int error = posix_spawn(&this->pid, arguments[0], &actions, nullptr,
                                  arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    if (error != 0) {
      throw std::runtime_error("failed to start fake_backend_server");
    }
    this->port = ReadPort(output[0]);
    close(output[0]);
  }

  ~FakeBackendServerProcess() {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
  FakeBackendServerProcess(const FakeBackendServerProcess&) = delete;
  FakeBackendServerProcess& operator=(const FakeBackendServerProcess&) = delete;

  std::uint16_t Port() const { return this->port; }
  pid_t Pid() const { return this->pid; }

  /// The counters of `GET /runs`.
  nlohmann::json Runs() const { return this->Call("/runs", nullptr); }

  /// Changes the named faults, as for `POST /faults`.
  void SetFaults(const nlohmann::json& faults) const {
    const std::string body = faults.dump();
    this->Call("/faults", &body);
  }

 private:
  static std::uint16_t ReadPort(int output) {
    std::string line;
    for (char letter = 0; read(output, &letter, 1) == 1 && letter != '\n';) {
      line += letter;
    }
    return nlohmann::json::parse(line).at("port").get<std::uint16_t>();
  }

  /// Sends a POST with `body`, or a GET if there is none. Throws if the request
  /// fails.
  nlohmann::json Call(const std::string& path, const std::string* body) const {
    const std::string url =
        "http://127.0.0.1:" + std::to_string(this->port) + path;
    std::string answer;
    CURL* easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT, 30L);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Append);
    if (body != nullptr) {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->c_str());
    }
    const CURLcode code = curl_easy_perform(easy);
    curl_easy_cleanup(easy);
    if (code != CURLE_OK) {
      throw std::runtime_error(url + ": " + curl_easy_strerror(code));
    }
    return nlohmann::json::parse(answer);
  }

  static std::size_t Append(char* data, std::size_t size, std::size_t count,
                            void* answer) {
    static_cast<std::string*>(answer)->append(data, size * count);
    return size * count;
  }

  pid_t pid = 0;
  std::uint16_t port = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STAND_INS_FAKE_BACKEND_SERVER_PROCESS_H_
