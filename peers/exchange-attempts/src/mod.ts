/**
 * Messages of an attempt on the wire: one line of JSON each. The head goes
 * before the caller's body; frames come back (`docs/protocols.md`).
 */

export { encodeFrame, parseFrame } from "./frame_codec.ts";
export type { FrameResult } from "./frame_codec.ts";
export { LineSplitter } from "./line_splitter.ts";
export { encodeMessage, parseMessage } from "./message_codec.ts";
export type { MessageResult } from "./message_codec.ts";
