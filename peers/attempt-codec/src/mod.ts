/**
 * Wire format of attempts. A request is one line of JSON followed by the
 * caller's body; the answer is a stream of frames, one line of JSON each. See
 * `docs/protocols.md`.
 */

export { encodeFrame, parseFrame } from "./frame_codec.ts";
export type { FrameResult } from "./frame_codec.ts";
export { LineSplitter } from "./line_splitter.ts";
export { encodeMessage, parseMessage } from "./message_codec.ts";
export type { MessageResult } from "./message_codec.ts";
