#include "mimosastage/base/json_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace mimosastage {
namespace {

constexpr std::size_t kMaxTextBytes = 255;
constexpr std::size_t kMaxFoundBytes = 80;
// Limits the recursion that hostile input can cause in the parser.
constexpr int kMaxDepth = 32;

class JsonCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "json"; }
  std::string message(int value) const override {
    switch (static_cast<JsonError>(value)) {
      case JsonError::kNotJson:
        return "not valid JSON: correct the text at the given position";
      case JsonError::kUnknownField:
        return "unknown field: remove it or correct its name";
      case JsonError::kMissingField:
        return "missing field: add it";
      case JsonError::kWrongType:
        return "wrong type: use the expected type";
      case JsonError::kWrongUnit:
        return "wrong unit: use a string such as \"250ms\", \"2s\" or \"5m\"";
      case JsonError::kOutOfRange:
        return "out of range: use a value in the allowed range";
    }
    return "unknown JSON error";
  }
};

struct Unit {
  std::string_view name;
  std::int64_t milliseconds;
};

constexpr std::array<Unit, 4> kUnits{
    {{"h", 3'600'000}, {"m", 60'000}, {"s", 1'000}, {"ms", 1}}};

bool IsPlainText(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
  });
}

std::string RangeText(std::string_view min, std::string_view max) {
  return "use a value from " + std::string(min) + " to " + std::string(max);
}

}  // namespace

std::error_code make_error_code(JsonError error) {
  static const JsonCategory category;
  return {static_cast<int>(error), category};
}

std::string Problem::Message() const {
  std::string text = this->field;
  if (!text.empty()) {
    text += ": ";
  }
  const std::string kind_text = this->kind.message();
  text += kind_text.substr(0, kind_text.find(':'));
  if (!this->found.empty()) {
    text += ", found " + this->found;
  }
  return text + "; " + this->remedy;
}

std::string ShortText(const nlohmann::json& value) {
  std::string text =
      value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxFoundBytes) {
    text.resize(kMaxFoundBytes);
    text += "...";
  }
  return text;
}

nlohmann::json ParseJson(std::string_view text,
                         std::vector<Problem>* problems) {
  std::vector<std::set<std::string>> names_by_depth;
  std::string duplicate_name;
  bool too_deep = false;
  auto check = [&](int depth, nlohmann::json::parse_event_t event,
                   nlohmann::json& parsed) {
    if (event == nlohmann::json::parse_event_t::object_start) {
      names_by_depth.emplace_back();
    } else if (event == nlohmann::json::parse_event_t::object_end) {
      names_by_depth.pop_back();
    } else if (event == nlohmann::json::parse_event_t::key &&
               !names_by_depth.back()
                    .insert(parsed.get<std::string>())
                    .second) {
      duplicate_name = parsed.get<std::string>();
    }
    too_deep = too_deep || depth > kMaxDepth;
    return true;
  };
  try {
    nlohmann::json value = nlohmann::json::parse(text, check);
    if (duplicate_name.empty() && !too_deep) {
      return value;
    }
    problems->push_back(
        {JsonError::kNotJson, duplicate_name,
         too_deep ? "too many nested levels" : "a duplicate name",
         too_deep ? "nest at most 32 levels"
                  : "use each name only once in an object"});
  } catch (const nlohmann::json::parse_error& error) {
    problems->push_back({JsonError::kNotJson, "",
                         "a syntax error at byte " + std::to_string(error.byte),
                         "correct the JSON text there"});
  } catch (const nlohmann::json::out_of_range&) {
    problems->push_back({JsonError::kNotJson, "",
                         "a number beyond the range of a double",
                         "write a smaller number"});
  }
  return nullptr;
}

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || number < 0) {
    return std::nullopt;
  }
  const std::string_view unit_name = text.substr(end - text.data());
  for (const Unit& unit : kUnits) {
    if (unit.name == unit_name &&
        number <=
            std::numeric_limits<std::int64_t>::max() / unit.milliseconds) {
      return std::chrono::milliseconds(number * unit.milliseconds);
    }
  }
  return std::nullopt;
}

std::string FormatDuration(std::chrono::milliseconds duration) {
  const std::int64_t count = duration.count();
  for (const Unit& unit : kUnits) {
    if (count != 0 && count % unit.milliseconds == 0) {
      return std::to_string(count / unit.milliseconds) + std::string(unit.name);
    }
  }
  return "0s";
}

JsonObjectReader::JsonObjectReader(const nlohmann::json& value,
                                   std::string path,
                                   std::vector<Problem>* problems)
    : value(value), path(std::move(path)), problems(problems) {
  if (!value.is_object()) {
    problems->push_back({JsonError::kWrongType, this->path, ShortText(value),
                         "use a JSON object"});
  }
}

std::string JsonObjectReader::PathOf(std::string_view name) const {
  return this->path.empty() ? std::string(name)
                            : this->path + "." + std::string(name);
}

void JsonObjectReader::Report(std::error_code kind, const char* name,
                              std::string found, std::string remedy) {
  this->problems->push_back(
      {kind, this->PathOf(name), std::move(found), std::move(remedy)});
}

const nlohmann::json* JsonObjectReader::Field(const char* name,
                                              Presence presence) {
  this->known_fields.insert(name);
  if (!this->value.is_object()) {
    return nullptr;
  }
  if (auto field = this->value.find(name); field != this->value.end()) {
    return &*field;
  }
  if (presence == Presence::kRequired) {
    this->Report(JsonError::kMissingField, name, "", "add the field");
  }
  return nullptr;
}

void JsonObjectReader::Text(const char* name, Presence presence,
                            std::string* out) {
  const nlohmann::json* field = this->Field(name, presence);
  if (field == nullptr) {
    return;
  }
  if (!field->is_string()) {
    this->Report(JsonError::kWrongType, name, ShortText(*field),
                 "use a string");
    return;
  }
  const auto& text = field->get_ref<const std::string&>();
  if (text.empty() || text.size() > kMaxTextBytes || !IsPlainText(text)) {
    this->Report(JsonError::kOutOfRange, name, ShortText(*field),
                 "use 1 to 255 bytes without control characters");
    return;
  }
  *out = text;
}

void JsonObjectReader::Flag(const char* name, Presence presence, bool* out) {
  const nlohmann::json* field = this->Field(name, presence);
  if (field == nullptr) {
    return;
  }
  if (!field->is_boolean()) {
    this->Report(JsonError::kWrongType, name, ShortText(*field),
                 "use true or false");
    return;
  }
  *out = field->get<bool>();
}

std::optional<std::uint64_t> JsonObjectReader::ReadNumber(const char* name,
                                                          Presence presence,
                                                          std::uint64_t min,
                                                          std::uint64_t max) {
  const nlohmann::json* field = this->Field(name, presence);
  if (field == nullptr) {
    return std::nullopt;
  }
  if (!field->is_number_integer()) {
    this->Report(JsonError::kWrongType, name, ShortText(*field),
                 "use a whole number without quotes");
    return std::nullopt;
  }
  const auto number = field->get<std::uint64_t>();
  if (!field->is_number_unsigned() || number < min || number > max) {
    this->Report(JsonError::kOutOfRange, name, ShortText(*field),
                 RangeText(std::to_string(min), std::to_string(max)));
    return std::nullopt;
  }
  return number;
}

std::optional<std::chrono::milliseconds> JsonObjectReader::ReadTime(
    const char* name, Presence presence, std::chrono::milliseconds min,
    std::chrono::milliseconds max) {
  const nlohmann::json* field = this->Field(name, presence);
  if (field == nullptr) {
    return std::nullopt;
  }
  std::optional<std::chrono::milliseconds> time;
  if (field->is_string()) {
    time = ParseDuration(field->get_ref<const std::string&>());
  }
  if (!time) {
    this->Report(JsonError::kWrongUnit, name, ShortText(*field),
                 R"(use a string with a unit, such as "250ms", "2s" or "5m")");
    return std::nullopt;
  }
  if (*time < min || *time > max) {
    this->Report(JsonError::kOutOfRange, name, ShortText(*field),
                 RangeText(FormatDuration(min), FormatDuration(max)));
    return std::nullopt;
  }
  return time;
}

const nlohmann::json* JsonObjectReader::Object(const char* name,
                                               Presence presence) {
  const nlohmann::json* field = this->Field(name, presence);
  if (field != nullptr && !field->is_object()) {
    this->Report(JsonError::kWrongType, name, ShortText(*field),
                 "use a JSON object");
    return nullptr;
  }
  return field;
}

const nlohmann::json* JsonObjectReader::Array(const char* name,
                                              Presence presence) {
  const nlohmann::json* field = this->Field(name, presence);
  if (field != nullptr && !field->is_array()) {
    this->Report(JsonError::kWrongType, name, ShortText(*field),
                 "use a JSON array");
    return nullptr;
  }
  return field;
}

void JsonObjectReader::ReportUnknownFields() {
  if (!this->value.is_object()) {
    return;
  }
  for (const auto& [name, field] : this->value.items()) {
    if (!this->known_fields.contains(name)) {
      this->Report(JsonError::kUnknownField, name.c_str(), "",
                   "remove the field or correct its name");
    }
  }
}

}  // namespace mimosastage
