// Result of an operation that can fail: Boost.Outcome without exceptions.
//
// Reading the wrong alternative (value or error) is a programming error. Each layer has its own error type E and
// converts the errors of the layer below to it.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace lacewing::base {

template <typename T, typename E>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace lacewing::base
