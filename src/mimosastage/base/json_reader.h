#ifndef MIMOSASTAGE_BASE_JSON_READER_H_
#define MIMOSASTAGE_BASE_JSON_READER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace mimosastage {

/// Kinds of errors in settings, declarations and request bodies.
enum class JsonError : std::uint8_t {
  kNotJson = 1,
  kUnknownField,
  kMissingField,
  kWrongType,
  kWrongUnit,
  kOutOfRange,
};

std::error_code make_error_code(JsonError error);

/// One error in a JSON text and its remedy. `found` never holds a secret.
struct Problem {
  std::error_code kind;
  /// Path of the field, such as "daemons[2].link"; empty for the whole text.
  std::string field;
  /// The offending value, shortened.
  std::string found;
  std::string remedy;

  /// "FIELD: KIND, found FOUND; REMEDY" on one line.
  std::string Message() const;
};

/// Parses JSON text of at most 32 nested levels. A name that occurs twice in
/// one object is a problem too. Returns null after reporting a problem.
nlohmann::json ParseJson(std::string_view text, std::vector<Problem>* problems);

/// Parses "250ms", "2s", "5m" or "1h"; returns nullopt for any other text.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Formats with the largest unit that divides the duration, so that
/// ParseDuration returns the same value.
std::string FormatDuration(std::chrono::milliseconds duration);

/// Reads the fields of one JSON object and reports each problem instead of
/// stopping at the first. `out` stays unchanged if the field is absent or
/// wrong.
class JsonObjectReader {
 public:
  enum class Presence : std::uint8_t { kOptional, kRequired };

  /// `value` and `problems` must outlive the reader. `path` prefixes the names
  /// of the fields.
  JsonObjectReader(const nlohmann::json& value, std::string path,
                   std::vector<Problem>* problems);

  /// Text of 1 to 255 bytes without control characters.
  void Text(const char* name, Presence presence, std::string* out);
  void Flag(const char* name, Presence presence, bool* out);
  /// A whole number from `min` to `max`.
  template <class Int>
  void Number(const char* name, Presence presence, std::uint64_t min,
              std::uint64_t max, Int* out) {
    if (auto number = this->ReadNumber(name, presence, min, max)) {
      *out = static_cast<Int>(*number);
    }
  }
  /// A string with a unit, from `min` to `max`.
  template <class DurationType>
  void Time(const char* name, Presence presence, std::chrono::milliseconds min,
            std::chrono::milliseconds max, DurationType* out) {
    if (auto time = this->ReadTime(name, presence, min, max)) {
      *out = std::chrono::duration_cast<DurationType>(*time);
    }
  }
  /// An object or an array, or null if it is absent or of another type.
  const nlohmann::json* Object(const char* name, Presence presence);
  const nlohmann::json* Array(const char* name, Presence presence);
  /// The field, whatever its type, or null if it is absent.
  const nlohmann::json* Field(const char* name, Presence presence);

  /// Reports every field that no method was called for.
  void ReportUnknownFields();

  void Report(std::error_code kind, const char* name, std::string found,
              std::string remedy);
  std::string PathOf(std::string_view name) const;

 private:
  std::optional<std::uint64_t> ReadNumber(const char* name, Presence presence,
                                          std::uint64_t min, std::uint64_t max);
  std::optional<std::chrono::milliseconds> ReadTime(
      const char* name, Presence presence, std::chrono::milliseconds min,
      std::chrono::milliseconds max);

  const nlohmann::json& value;
  std::string path;
  std::vector<Problem>* problems;
  std::set<std::string, std::less<>> known_fields;
};

/// The value as JSON text, cut after 80 bytes, for Problem::found.
std::string ShortText(const nlohmann::json& value);

}  // namespace mimosastage

template <>
struct std::is_error_code_enum<mimosastage::JsonError> : std::true_type {};

#endif  // MIMOSASTAGE_BASE_JSON_READER_H_
