/** Digests that identify request keys and requests. */

import { createHash, hash } from "node:crypto";

/** Returns the digest that identifies a request key within its organisation. */
export function digestKey(organisation: string, key: string): string {
  return hash("sha256", `${organisation}\n${key}`, "base64url");
}

export interface FingerprintedRequest {
  readonly organisation: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** Returns the hexadecimal digest of organisation, method, path and body. */
export function digestRequest(request: FingerprintedRequest): string {
  const { organisation, method, path, body } = request;
  const operation = JSON.stringify([organisation, method, path]);
  return createHash("sha256").update(operation).update(body).digest("hex");
}
