/** SHA-256 digests of bodies, request keys and requests. */

export { createBodyDigest } from "./body_digest.ts";
export { digestKey, digestRequest } from "./key_digest.ts";
export type { FingerprintedRequest } from "./key_digest.ts";
