/** Digests that stand for request keys and requests in the cores. */

import { createHash, hash } from "node:crypto";

/** Stands for organisation and key together. */
export function digestKey(organisation: string, key: string): string {
  return hash("sha256", `${organisation}\n${key}`, "base64url");
}

export interface FingerprintedRequest {
  readonly organisation: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** Digest of organisation, operation and body, in hexadecimal. */
export function digestRequest(request: FingerprintedRequest): string {
  const { organisation, method, path, body } = request;
  const operation = JSON.stringify([organisation, method, path]);
  return createHash("sha256").update(operation).update(body).digest("hex");
}
