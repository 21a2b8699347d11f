#include "core/OutputSink.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace fireflytrail::core;
using namespace std::chrono_literals;

namespace {

struct Pipe
{
  std::array<int, 2> ends{};
  TimePoint time{ 1h };

  Pipe() { BOOST_REQUIRE(pipe(this->ends.data()) == 0); }
  ~Pipe()
  {
    close(this->ends[0]);
    close(this->ends[1]);
  }

  std::string ReadAll()
  {
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buffer{};
    for (ssize_t count = 0;
         (count = read(this->ends[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }
};

} // namespace

// Guards against a daemon that blocks because nothing reads its log.
BOOST_FIXTURE_TEST_CASE(DoesNotBlockOnFullPipe, Pipe)
{
  OutputSink sink(
    this->ends[1], std::size_t{ 1 } << 30U, [this] { return this->time; });
  const std::string line(1000, 'x');
  for (int count = 0; count < 1000; ++count) {
    sink.Write(line);
  }
  BOOST_TEST(sink.DroppedCount() > 0U);
  const std::string text = this->ReadAll();
  BOOST_TEST(text.size() % 1001 == 0U);
  sink.Write("next");
  BOOST_TEST(this->ReadAll().find("log_lines_dropped") != std::string::npos);
}

// Guards against unbounded log output when many failures occur.
BOOST_FIXTURE_TEST_CASE(LimitsBytesPerSecond, Pipe)
{
  OutputSink sink(this->ends[1], 1000, [this] { return this->time; });
  for (int count = 0; count < 1000; ++count) {
    sink.Write("0123456789");
    this->time += 1ms;
  }
  // The initial budget of one second and that of the second that elapsed.
  BOOST_TEST(this->ReadAll().size() <= 2000U);
  BOOST_TEST(sink.DroppedCount() >= 800U);
}

// Guards against a line that is truncated because it is too long for one atomic
// write to a pipe.
BOOST_FIXTURE_TEST_CASE(DropsLinesThatAreTooLong, Pipe)
{
  OutputSink sink(this->ends[1], 1'000'000, [this] { return this->time; });
  sink.Write(std::string(OutputSink::kMaxLineBytes, 'x'));
  BOOST_TEST(sink.DroppedCount() == 1U);
  BOOST_TEST(this->ReadAll().empty());
}
