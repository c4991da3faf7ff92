/** Records of requests, each kept until the request ends. */

import type { Ticket } from "@dandelionbank/read-ticket";

/** A request that has not ended. */
export interface OpenRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly pool: string;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  readonly resumable: boolean;
  readonly promptPrefix: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly priority: number;
  readonly viewRevision: number;
  /** The ticket in the idempotency key; names the key's home entry. */
  readonly ticket: Ticket | undefined;
  /** The idempotency key as the caller sent it. */
  readonly keyText: string | undefined;
  readonly body: Buffer;
  readonly arrivedMs: number;
  readonly estimatedTokens: number;
  /** Whether this entry's limiter has admitted the request. */
  isAdmitted: boolean;
}

export class RequestTable {
  readonly #requests = new Map<string, OpenRequest>();

  private constructor() {}

  static create(): RequestTable {
    return new RequestTable();
  }

  add(request: OpenRequest): void {
    this.#requests.set(request.requestId, request);
  }

  get(requestId: string): OpenRequest | undefined {
    return this.#requests.get(requestId);
  }

  remove(requestId: string): OpenRequest | undefined {
    const request = this.#requests.get(requestId);
    this.#requests.delete(requestId);
    return request;
  }
}
