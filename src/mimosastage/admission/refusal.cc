#include "mimosastage/admission/refusal.h"

#include <string>

namespace mimosastage {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "mimosastage.admission"; }

  std::string message(int value) const override {
    switch (static_cast<AdmissionError>(value)) {
      case AdmissionError::kQueueFull:
        return "the pool's queue is full; retry after the time in Retry-After";
      case AdmissionError::kClientQueueFull:
        return "this client has too many waiting requests in the pool; wait "
               "for answers before sending more";
      case AdmissionError::kDeadlineTooShort:
        return "the request could not end before its deadline at the present "
               "rate; allow more time or retry later";
      case AdmissionError::kDeadlinePassed:
        return "the deadline came too close while the request waited; allow "
               "more time or retry later";
      case AdmissionError::kDisplaced:
        return "the queue was full and the team above its share; send fewer "
               "requests at once or retry later";
      case AdmissionError::kNoUnits:
        return "the units of a daemon that ended aren't free yet; retry later";
      case AdmissionError::kNotServing:
        return "this entry may not serve at the moment; retry at another entry";
      case AdmissionError::kMalformedMessage:
        return "the message doesn't match the schema; run the same version on "
               "all daemons";
    }
    return "unknown admission error";
  }
};

}  // namespace

const std::error_category& AdmissionCategory() noexcept {
  static const Category category;
  return category;
}

std::error_code make_error_code(AdmissionError error) noexcept {
  return {static_cast<int>(error), AdmissionCategory()};
}

}  // namespace mimosastage
