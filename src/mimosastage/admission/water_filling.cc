#include "mimosastage/admission/water_filling.h"

#include <algorithm>
#include <numeric>

namespace mimosastage {
namespace {

/// Water level, in units per weight, at which a claim is satisfied.
double FullLevel(const Claim& claim) { return claim.demand / claim.weight; }

std::vector<std::size_t> ByFullLevel(const std::vector<Claim>& claims) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < claims.size(); ++i) {
    if (claims[i].weight > 0 && claims[i].demand > 0) {
      order.push_back(i);
    }
  }
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return FullLevel(claims[a]) < FullLevel(claims[b]);
  });
  return order;
}

}  // namespace

std::vector<double> FillByWeight(double capacity,
                                 const std::vector<Claim>& claims) {
  std::vector<double> parts(claims.size(), 0);
  double weight = 0;
  const auto order = ByFullLevel(claims);
  for (const std::size_t i : order) {
    weight += claims[i].weight;
  }
  for (const std::size_t i : order) {
    const double fair = capacity * claims[i].weight / weight;
    parts[i] = std::min(claims[i].demand, fair);
    capacity = std::max(0.0, capacity - parts[i]);
    weight -= claims[i].weight;
  }
  return parts;
}

}  // namespace mimosastage
