#ifndef MIMOSASTAGE_BASE_RESULT_H_
#define MIMOSASTAGE_BASE_RESULT_H_

#include <boost/system/result.hpp>
#include <system_error>

namespace mimosastage {

/// A value or a std::error_code.
template <class T>
using Result = boost::system::result<T, std::error_code>;

}  // namespace mimosastage

#endif  // MIMOSASTAGE_BASE_RESULT_H_
