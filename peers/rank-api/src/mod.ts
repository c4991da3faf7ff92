/** Calls between the agents of a rank group. */

export {
  decodeCounts,
  encodeCounts,
  sumEncodedCounts,
} from "./encode_counts.ts";
export {
  applyMapChange,
  decodeMap,
  encodeMap,
  encodeMapChange,
} from "./encode_map.ts";
export { createRankClient, RANK_PATH } from "./rank_client.ts";
export type { RankClient } from "./rank_client.ts";
export { createRankRouter } from "./rank_router.ts";
export type {
  ChangeReply,
  ChangeRequest,
  EncodedChoices,
  EncodedOrder,
  NewerTerm,
  OrderReply,
  OrderRequest,
  OtherGroup,
  PollReply,
  PollRequest,
  RankHandlers,
  RankRouter,
  RelayedCall,
  RelayedReply,
  RelayReply,
  RelayRequest,
} from "./rank_router.ts";
