#ifndef MIMOSASTAGE_TESTS_PLATFORM_SUPPORT_WIRE_MESSAGES_H_
#define MIMOSASTAGE_TESTS_PLATFORM_SUPPORT_WIRE_MESSAGES_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/platform_settings.h"
#include "platform/wire_calls.h"
#include "platform/wire_orders.h"

namespace mimosastage::platform {

HttpRequest MakeRequest(const std::string& method, const std::string& target,
                        const std::string& body = "");

/// The daemon's clock in the tests.
inline constexpr std::chrono::milliseconds kWallTime{1'796'400'000'000};

/// What the decoders below reported since the last call.
std::vector<OddEntry> TakeReports();

/// The decoders with hooks of the tests.
DecodedRequest DecodeRequest(const HttpRequest& request, ListenerRole role);
jobs::WorkerReply DecodeReply(const ExchangeResult& result);
jobs::InstanceReply DecodeInstanceReply(const ExchangeResult& result);
jobs::AdviceReply DecodeAdvice(const ExchangeResult& result);

ExchangeResult MakeResult(std::uint16_t status, const std::string& body);

/// Messages as a sound sender writes them.
nlohmann::json Heartbeat();
nlohmann::json JobBody();
nlohmann::json ConfigurationBody();
nlohmann::json WaveBody();
nlohmann::json HoldBody();
nlohmann::json MachineList();
nlohmann::json AdviceBody();
nlohmann::json VoterSettings();

/// Each value in `message`, and each array and object around it.
std::vector<nlohmann::json::json_pointer> PlacesIn(
    const nlohmann::json& message);

/// `message` as text, with `text` in place of the value at `place`. The text
/// may be one that no JSON library would write.
std::string WithTextAt(nlohmann::json message,
                       const nlohmann::json::json_pointer& place,
                       const std::string& text);

/// A decoder of the adapter, with a message that it accepts.
struct Decoder {
  const char* name;
  std::function<nlohmann::json()> sound_message;
  std::function<void(const std::string& body)> decode;
};

/// Every decoder of bytes from outside.
const std::vector<Decoder>& AllDecoders();

/// Writes `text` to a file in the folder for temporary files and reads it as
/// the settings file.
std::optional<PlatformSettings> ReadSettingsText(const std::string& text,
                                                 std::string* problem);

}  // namespace mimosastage::platform

#endif  // MIMOSASTAGE_TESTS_PLATFORM_SUPPORT_WIRE_MESSAGES_H_
