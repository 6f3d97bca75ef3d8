#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <vector>

namespace lycheelanding::wire {

/// Reads what cereal::PortableBinaryOutputArchive has written. Takes memory in proportion to the bytes that are there:
/// cereal's own archive allocates as many elements as the bytes claim before it reads them. Throws cereal::Exception if
/// bytes are missing.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view bytes) : InputArchive(this), m_bytes(bytes)
    {
        std::uint8_t isLittleEndian = 0;
        loadBinary<1>(&isLittleEndian, sizeof(isLittleEndian));
        m_swapsBytes = (isLittleEndian != 0) != (cereal::portable_binary_detail::is_little_endian() != 0);
    }

    /// Reads numbers of `ItemBytes` bytes each; `size` is in bytes.
    template <std::size_t ItemBytes>
    void loadBinary(void *data, std::size_t size)
    {
        if (size > m_bytes.size()) {
            throw cereal::Exception("the message ends too early");
        }
        if (size == 0) {
            return;
        }
        std::memcpy(data, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
        for (std::size_t offset = 0; m_swapsBytes && offset < size; offset += ItemBytes) {
            cereal::portable_binary_detail::swap_bytes<ItemBytes>(static_cast<std::uint8_t *>(data) + offset);
        }
    }

    std::size_t bytesLeft() const { return m_bytes.size(); }

private:
    std::string_view m_bytes;
    bool m_swapsBytes = false;
};

template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, Number &number)
{
    archive.loadBinary<sizeof(Number)>(&number, sizeof(Number));
}

template <typename Item>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<Item> &data)
{
    archive.loadBinary<sizeof(std::remove_pointer_t<Item>)>(data.data, static_cast<std::size_t>(data.size));
}

/// Names are not in the bytes.
template <typename Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

/// The number of elements that follow; each takes at least one byte.
template <typename Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<Size> &tag)
{
    archive(tag.size);
    if (tag.size > archive.bytesLeft()) {
        throw cereal::Exception("the message has fewer elements than it says");
    }
}

/// Appends the elements one by one, as one in memory may be much larger than its bytes.
template <typename Item>
std::enable_if_t<!std::is_arithmetic_v<Item>> CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive,
                                                                        std::vector<Item> &items)
{
    cereal::size_type count = 0;
    archive(cereal::make_size_tag(count));
    items.clear();
    while (count-- > 0) {
        archive(items.emplace_back());
    }
}

} // namespace lycheelanding::wire

namespace cereal::traits::detail {

template <>
struct get_output_from_input<lycheelanding::wire::BoundedInputArchive>
{
    using type = PortableBinaryOutputArchive;
};

} // namespace cereal::traits::detail
