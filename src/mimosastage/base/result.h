#ifndef MIMOSASTAGE_BASE_RESULT_H_
#define MIMOSASTAGE_BASE_RESULT_H_

#include <boost/system/result.hpp>
#include <system_error>

namespace mimosastage {

/// A value, or the std::error_code that says why there is none.
template <class T>
using Result = boost::system::result<T, std::error_code>;

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_RESULT_H_
