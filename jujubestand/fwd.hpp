#ifndef JUJUBESTAND_FWD_HPP
#define JUJUBESTAND_FWD_HPP

#include <cstdint>

/// \file
/// \brief Forward declarations of what embedders name most.

namespace jujubestand
{

enum class verdict : std::uint8_t;
enum class reason_code : std::uint16_t;
enum class event_number : std::uint16_t;
struct reason;
struct request_id;
struct hybrid_time;
struct address;
struct event_note;

namespace admission
{
struct queue_item;
struct queue_options;
struct queue_state;
} // namespace admission

namespace claims
{
struct claim_options;
struct claimant;
} // namespace claims

namespace config
{
struct edit;
struct pool;
struct route;
struct snapshot;
struct store;
struct tables;
} // namespace config

namespace link
{
class node;
struct frame;
struct node_options;
} // namespace link

namespace placement
{
struct placement_options;
struct placement_request;
struct placement_state;
} // namespace placement

namespace prefix
{
struct chain;
struct chain_options;
struct chain_seed;
struct segment;
} // namespace prefix

} // namespace jujubestand

#endif
