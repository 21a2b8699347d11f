#pragma once

#include "gossip/DocumentPatch.h"
#include "wire/messages_generated.h"

#include <flatbuffers/flatbuffers.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/** Helpers for converting to and from FlatBuffers. All are thread-safe. */
namespace fireflytrail::wire {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

/** A message in a builder: its type in the envelope's union and its offset. */
template<typename T>
struct EncodedMessage
{
  fbs::Message type;
  Offset<T> offset;

  Offset<void> Union() const { return this->offset.Union(); }
};

inline Offset<flatbuffers::Vector<std::uint8_t>>
WriteBytes(FlatBufferBuilder& aBuilder, std::string_view aBytes)
{
  return aBytes.empty()
           ? Offset<flatbuffers::Vector<std::uint8_t>>()
           : aBuilder.CreateVector(
               reinterpret_cast<const std::uint8_t*>(aBytes.data()),
               aBytes.size());
}

inline Offset<flatbuffers::String>
WriteOptionalString(FlatBufferBuilder& aBuilder, std::string_view aText)
{
  return aText.empty() ? Offset<flatbuffers::String>()
                       : aBuilder.CreateString(aText);
}

inline std::string
TextOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

inline std::string
BytesOf(const flatbuffers::Vector<std::uint8_t>* aBytes)
{
  return aBytes == nullptr
           ? std::string()
           : std::string(reinterpret_cast<const char*>(aBytes->data()),
                         aBytes->size());
}

inline Offset<flatbuffers::Vector<Offset<fbs::PatchPart>>>
WritePatch(FlatBufferBuilder& aBuilder,
           const std::vector<gossip::PatchPart>& aPatch)
{
  std::vector<Offset<fbs::PatchPart>> parts;
  parts.reserve(aPatch.size());
  for (const gossip::PatchPart& part : aPatch) {
    const auto literal = WriteBytes(aBuilder, part.literal);
    parts.push_back(
      fbs::CreatePatchPart(aBuilder, literal, part.offset, part.length));
  }
  return parts.empty() ? Offset<flatbuffers::Vector<Offset<fbs::PatchPart>>>()
                       : aBuilder.CreateVector(parts);
}

inline std::vector<gossip::PatchPart>
ReadPatch(const flatbuffers::Vector<Offset<fbs::PatchPart>>* aPatch)
{
  std::vector<gossip::PatchPart> parts;
  if (aPatch != nullptr) {
    parts.reserve(aPatch->size());
    for (const fbs::PatchPart* part : *aPatch) {
      parts.push_back(
        { BytesOf(part->literal()), part->offset(), part->length() });
    }
  }
  return parts;
}

/**
 * Returns whether the elements of a vector are aligned. The verifier of
 * FlatBuffers 2.0.8 checks only the vector's length field.
 */
template<typename T>
bool
IsAligned(const flatbuffers::Vector<T>* aVector, std::size_t aAlignment)
{
  return aVector == nullptr ||
         reinterpret_cast<std::uintptr_t>(aVector->Data()) % aAlignment == 0;
}

} // namespace fireflytrail::wire
