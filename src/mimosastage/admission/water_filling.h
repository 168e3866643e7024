#ifndef MIMOSASTAGE_ADMISSION_WATER_FILLING_H_
#define MIMOSASTAGE_ADMISSION_WATER_FILLING_H_

#include <vector>

namespace mimosastage {

/// One claim on a capacity.
struct Claim {
  /// At least 0; 0 gets nothing while others want more.
  double weight = 1;
  double demand = 0;
};

/// Divides `capacity` by weight without giving any claim more than its demand
/// (weighted max-min fairness); what some don't want goes to the others. Same
/// order and unit as `claims`. O(n log n).
std::vector<double> FillByWeight(double capacity,
                                 const std::vector<Claim>& claims);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ADMISSION_WATER_FILLING_H_
