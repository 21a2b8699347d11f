#define BOOST_TEST_MODULE FIREFLYTRAIL_TEST_MODULE
#include <boost/test/unit_test.hpp>
