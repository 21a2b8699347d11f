#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr std::uint64_t kSeed = 1;

// Total over all corpus files. For a codec they take less than a second.
constexpr std::size_t kMutationCount = 200'000;

Bytes
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

void
RunOne(const Bytes& aBytes)
{
  // A copy of exact size lets AddressSanitizer detect reads past the end.
  const Bytes copy(aBytes.begin(), aBytes.end());
  LLVMFuzzerTestOneInput(copy.data(), copy.size());
}

/** Changes, inserts or removes bytes, truncates, or appends another file. */
void
Mutate(Bytes& aBytes, const Bytes& aOther, std::mt19937_64& aRandom)
{
  const auto randomBelow = [&](std::size_t aLimit) {
    return static_cast<std::ptrdiff_t>(aLimit == 0 ? 0 : aRandom() % aLimit);
  };
  switch (aRandom() % 6) {
    case 0:
      if (!aBytes.empty()) {
        aBytes[static_cast<std::size_t>(randomBelow(aBytes.size()))] ^=
          static_cast<std::uint8_t>(1U << (aRandom() % 8));
      }
      break;
    case 1:
      if (!aBytes.empty()) {
        constexpr std::uint8_t kBoundaryValues[] = { 0, 1, 0x7f, 0x80, 0xff };
        aBytes[static_cast<std::size_t>(randomBelow(aBytes.size()))] =
          kBoundaryValues[aRandom() % std::size(kBoundaryValues)];
      }
      break;
    case 2:
      aBytes.resize(static_cast<std::size_t>(randomBelow(aBytes.size() + 1)));
      break;
    case 3:
      aBytes.insert(aBytes.begin() + randomBelow(aBytes.size() + 1),
                    static_cast<std::uint8_t>(aRandom()));
      break;
    case 4:
      aBytes.insert(aBytes.end(), aOther.begin(), aOther.end());
      break;
    default:
      if (!aBytes.empty()) {
        const auto from = randomBelow(aBytes.size());
        const auto count =
          randomBelow(aBytes.size() - static_cast<std::size_t>(from)) + 1;
        aBytes.erase(aBytes.begin() + from, aBytes.begin() + from + count);
      }
  }
}

} // namespace

/**
 * Runs a fuzz target on every file of a corpus folder and on `kMutationCount`
 * mutations of the files, which are the same in each run. The process aborts at
 * an input for which a check of the target fails.
 */
int
main(int aArgumentCount, char** aArguments)
{
  if (aArgumentCount != 2) {
    std::fprintf(stderr, "usage: %s CORPUS_FOLDER\n", aArguments[0]);
    return 2;
  }
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(aArguments[1])) {
    if (entry.is_regular_file()) {
      paths.push_back(entry.path());
    }
  }
  // The order of directory entries depends on the file system.
  std::sort(paths.begin(), paths.end());
  if (paths.empty()) {
    std::fprintf(stderr, "no files in %s\n", aArguments[1]);
    return 2;
  }
  std::vector<Bytes> files;
  files.reserve(paths.size());
  for (const auto& path : paths) {
    files.push_back(ReadFile(path));
    std::printf("%s\n", path.filename().c_str());
    std::fflush(stdout);
    RunOne(files.back());
  }
  std::mt19937_64 random(kSeed);
  for (std::size_t count = 0; count < kMutationCount; ++count) {
    Bytes bytes = files[random() % files.size()];
    const Bytes& other = files[random() % files.size()];
    for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes) {
      Mutate(bytes, other, random);
    }
    RunOne(bytes);
  }
  std::printf("%zu files, %zu mutations, seed %llu\n",
              files.size(),
              kMutationCount,
              static_cast<unsigned long long>(kSeed));
  return 0;
}
