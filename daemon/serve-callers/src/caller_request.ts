/** A request that passed every check of the caller server. */

import type { Call } from "@dandelionbank/read-call";
import type { Config, Contract } from "@dandelionbank/types";
import { randomUUID } from "node:crypto";

export interface CallerRequest {
  readonly requestId: string;
  readonly contract: Contract;
  /** Revision of the view against which the request was checked. */
  readonly viewRevision: number;
  readonly config: Config;
  readonly call: Call;
  readonly method: string;
  readonly contentType: string;
  /** The caller's `Idempotency-Key`, if it sent one. */
  readonly key: string | undefined;
  /** SHA-256 over organisation, operation and body, in hexadecimal. */
  readonly fingerprint: string;
  readonly body: Buffer;
}

export function createRequestId(): string {
  return randomUUID();
}
