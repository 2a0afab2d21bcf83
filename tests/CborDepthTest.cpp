// Tests of messages between processes that are nested so deeply that reading
// them would use up the stack.

#include "process/CborDepth.h"
#include "process/GossipMessages.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <pthread.h>
#include <rapidcheck/gtest.h>

namespace galenaroute {
namespace {

using nlohmann::json;

/// Decodes \p Message in a thread with 1 MB of stack. Returns whether they were
/// refused.
bool isRefusedWithLittleStack(std::string Message) {
  struct Run {
    std::string Bytes;
    bool IsRefused = false;
  } Given;
  Given.Bytes = std::move(Message);
  pthread_attr_t Attributes;
  pthread_attr_init(&Attributes);
  pthread_attr_setstacksize(&Attributes, 1 << 20);
  pthread_t Thread{};
  const int Failure = pthread_create(
      &Thread, &Attributes,
      [](void *Arg) -> void * {
        Run &Own = *static_cast<Run *>(Arg);
        try {
          decodeGossip(Own.Bytes);
        } catch (const std::exception &) {
          Own.IsRefused = true;
        }
        return nullptr;
      },
      &Given);
  pthread_attr_destroy(&Attributes);
  if (Failure != 0)
    throw std::runtime_error("cannot start a thread");
  pthread_join(Thread, nullptr);
  return Given.IsRefused;
}

// Guards against a datagram that ends a gateway by its stack, which cannot grow
// where the address space is used up.
TEST(CborDepthTest, DeeplyNestedGossipNeedsLittleStack) {
  for (const char Opening : {'\x81', '\x9f', '\x7f', '\x5f', '\xc1'})
    EXPECT_TRUE(isRefusedWithLittleStack(std::string(MaxGossipBytes, Opening)))
        << static_cast<int>(Opening);
}

// Guards against a limit that is off by one.
TEST(CborDepthTest, TheLimitCountsArraysAndMaps) {
  const auto Nested = [](int Depth) {
    json Value = 1;
    for (int I = 0; I < Depth; ++I)
      Value = I % 2 == 0 ? json::array({std::move(Value)})
                         : json{{"a", std::move(Value)}};
    const std::vector<std::uint8_t> Bytes = json::to_cbor(Value);
    return std::string(Bytes.begin(), Bytes.end());
  };
  EXPECT_TRUE(isBoundedCbor(Nested(16), 16));
  EXPECT_FALSE(isBoundedCbor(Nested(17), 16));
}

// Guards against a message of many items of one byte, each of which takes some
// fifty bytes when it is read.
TEST(CborDepthTest, TheNumberOfItemsIsBounded) {
  const auto Flat = [](std::size_t Items) {
    const std::vector<std::uint8_t> Bytes =
        json::to_cbor(json(json::array_t(Items, json::array())));
    return std::string(Bytes.begin(), Bytes.end());
  };
  EXPECT_TRUE(isBoundedCbor(Flat(99), 16, /*MaxItems=*/100));
  EXPECT_FALSE(isBoundedCbor(Flat(100), 16, /*MaxItems=*/100));
  EXPECT_FALSE(isBoundedCbor(Flat(256 << 10), 16));
}

// Guards against regular messages that are refused, whatever they hold.
RC_GTEST_PROP(CborDepthTest, WhatTheWriterProducesIsAccepted, ()) {
  json Value = json::array();
  for (int I = *rc::gen::inRange(0, 40); I > 0; --I)
    Value.push_back(
        {{"n", *rc::gen::arbitrary<std::int64_t>()},
         {"d", *rc::gen::arbitrary<double>()},
         {"s", std::string(*rc::gen::inRange<std::size_t>(0, 70000), 's')},
         {"b", json::binary({1, 2})},
         {"none", nullptr},
         {"yes", true}});
  const std::vector<std::uint8_t> Bytes = json::to_cbor(Value);
  RC_ASSERT(isBoundedCbor(
      {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()},
      /*MaxDepth=*/2));
}

} // namespace
} // namespace galenaroute
