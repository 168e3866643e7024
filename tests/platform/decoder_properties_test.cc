#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "tests/platform/support/wire_messages.h"

namespace mimosastage::platform {
namespace {

using nlohmann::json;

/// Bytes that are no JSON value, without those that would end the row around
/// them.
rc::Gen<std::string> UnreadableBytes() {
  return rc::gen::container<std::string>(rc::gen::suchThat<char>([](char byte) {
    return std::string_view("[]{}\"").find(byte) == std::string_view::npos;
  }));
}

rc::Gen<std::string> NestedValue() {
  return rc::gen::map(
      rc::gen::inRange<std::size_t>(1, 100'000), [](std::size_t levels) {
        return std::string(levels, '[') + std::string(levels, ']');
      });
}

rc::Gen<std::string> TextWithAnyBytes() {
  return rc::gen::map(UnreadableBytes(), [](std::string bytes) {
    std::replace(bytes.begin(), bytes.end(), '\\', '/');
    return "\"" + bytes + "\"";
  });
}

/// The text of a value that a sound sender wouldn't write at this place.
rc::Gen<std::string> OddValue() {
  const rc::Gen<std::string> fixed = rc::gen::element<std::string>(
      "null", "true", "0", "-1", "0.5", "1e300", "1e400", "-1e400", "1e-400",
      "4294967296", "9223372036854775807", "18446744073709551615",
      "99999999999999999999999", "[]", "{}", "\"\"", "\"\\ud800\"", "\"\\x\"",
      "\"\\u0000\"", "");
  return rc::gen::oneOf(fixed, NestedValue(), TextWithAnyBytes(),
                        UnreadableBytes());
}

rc::Gen<Decoder> AnyDecoder() { return rc::gen::elementOf(AllDecoders()); }

// Guards against bytes that end the process: a crash or an exception ends this
// test program.
RC_GTEST_PROP(DecoderProperties, Decode_AnyBytes_ProcessGoesOn, ()) {
  const Decoder decoder = *AnyDecoder();
  decoder.decode(*rc::gen::arbitrary<std::string>());
}

// As above, with bytes that get further into the decoders.
RC_GTEST_PROP(DecoderProperties, Decode_AnyMessageWithOddValues_ProcessGoesOn,
              ()) {
  const Decoder decoder = *AnyDecoder();
  const json message = decoder.sound_message();
  const auto place = *rc::gen::elementOf(PlacesIn(message));
  std::string text = WithTextAt(message, place, *OddValue());
  if (*rc::gen::arbitrary<bool>() && !text.empty()) {
    text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
  }
  decoder.decode(text);
}

// As above, with a field that is missing.
RC_GTEST_PROP(DecoderProperties, Decode_FieldIsMissing_ProcessGoesOn, ()) {
  const Decoder decoder = *AnyDecoder();
  json message = decoder.sound_message();
  const auto place = *rc::gen::elementOf(PlacesIn(message));
  json& parent = message[place.parent_pointer()];
  if (parent.is_object()) {
    parent.erase(place.back());
  } else {
    parent.erase(std::stoul(place.back()));
  }
  decoder.decode(message.dump());
}

/// A list in an answer, and its rows as the decoder read them.
struct List {
  const char* name;
  std::function<json()> sound_message;
  std::function<std::vector<std::string>(const std::string& body)> read;
};

std::vector<List> AllLists() {
  return {
      {"machines", MachineList,
       [](const std::string& body) {
         std::vector<std::string> rows;
         for (const auto& row :
              DecodeInstanceReply(MakeResult(200, body)).instances) {
           rows.push_back(row.instance + " " + row.pool + " " + row.worker +
                          " " + std::to_string(static_cast<int>(row.state)));
         }
         return rows;
       }},
      {"running", HoldBody,
       [](const std::string& body) {
         std::vector<std::string> rows;
         for (const auto& row : DecodeReply(MakeResult(200, body)).running) {
           rows.push_back(ToString(row.task) + " " + std::to_string(row.run) +
                          " " + row.checkpoint + " " +
                          std::to_string(row.percent) + " " +
                          std::to_string(row.load));
         }
         return rows;
       }},
      {"ended_runs", HoldBody,
       [](const std::string& body) {
         std::vector<std::string> rows;
         for (const auto& row : DecodeReply(MakeResult(200, body)).ended) {
           rows.push_back(std::to_string(row.number) + " " +
                          ToString(row.task) + " " + std::to_string(row.run) +
                          " " + std::to_string(static_cast<int>(row.outcome)) +
                          " " + row.checkpoint);
         }
         return rows;
       }},
      {"approved_workers", AdviceBody, [](const std::string& body) {
         std::vector<std::string> rows;
         for (const auto& [worker, ticket] :
              DecodeAdvice(MakeResult(200, body)).approved) {
           rows.push_back(std::string(worker).append(" ").append(ticket));
         }
         return rows;
       }}};
}

// Guards against an odd row that costs the rows beside it, or that makes them
// say something else.
RC_GTEST_PROP(DecoderProperties, Decode_OneRowIsOdd_OtherRowsAreRead, ()) {
  const List list = *rc::gen::elementOf(AllLists());
  const json message = list.sound_message();
  const std::vector<std::string> sound = list.read(message.dump());
  RC_ASSERT(sound.size() == message[list.name].size());
  const std::size_t odd =
      *rc::gen::inRange<std::size_t>(0, message[list.name].size());
  const std::string row =
      "/" + std::string(list.name) + "/" + std::to_string(odd);
  std::vector<json::json_pointer> places;
  for (const json::json_pointer& place : PlacesIn(message)) {
    if (place.to_string() == row || place.to_string().starts_with(row + "/")) {
      places.push_back(place);
    }
  }
  const auto place = *rc::gen::elementOf(places);
  const std::vector<std::string> read =
      list.read(WithTextAt(message, place, *OddValue()));
  RC_ASSERT(read.size() <= sound.size());
  for (std::size_t i = 0; i < sound.size(); ++i) {
    RC_ASSERT(i == odd ||
              std::find(read.begin(), read.end(), sound[i]) != read.end());
  }
}

}  // namespace
}  // namespace mimosastage::platform
