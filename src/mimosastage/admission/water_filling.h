#ifndef MIMOSASTAGE_ADMISSION_WATER_FILLING_H_
#define MIMOSASTAGE_ADMISSION_WATER_FILLING_H_

#include <vector>

namespace mimosastage {

/// One claim on a capacity.
struct Claim {
  /// At least 0. A claim of weight 0 gets nothing.
  double weight = 1;
  double demand = 0;
};

/// Divides `capacity` by weight without giving any claim more than its demand
/// (weighted max-min fairness). Capacity that a claim doesn't need is divided
/// between the others. The result has the order and unit of `claims`. O(n log
/// n).
std::vector<double> FillByWeight(double capacity,
                                 const std::vector<Claim>& claims);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ADMISSION_WATER_FILLING_H_
