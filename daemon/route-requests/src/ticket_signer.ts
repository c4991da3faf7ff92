/**
 * Issues this entry's tickets and verifies those of any entry. A ticket, part of
 * an idempotency key, names the key's home entry and its expiry. It is signed
 * for one organisation with the secret that all processes share.
 */

import {
  formatTicket,
  parseRequestKey,
  type RequestKey,
  type Ticket,
  ticketSigningText,
} from "@dandelionbank/read-ticket";
import { createHmac, timingSafeEqual } from "node:crypto";

export interface TicketSignerOptions {
  readonly incarnation: string;
  readonly secret: string;
}

export class TicketSigner {
  readonly #options: TicketSignerOptions;

  private constructor(options: TicketSignerOptions) {
    this.#options = options;
  }

  static create(options: TicketSignerOptions): TicketSigner {
    return new TicketSigner(options);
  }

  issue(
    organisation: string,
    terms: {
      readonly revision: number;
      readonly nowMs: number;
      readonly validityMs: number;
    },
  ): string {
    const ticket: Ticket = {
      incarnation: this.#options.incarnation,
      revision: terms.revision,
      issuedAtMs: Math.floor(terms.nowMs),
      expiresAtMs: Math.floor(terms.nowMs + terms.validityMs),
    };
    return formatTicket(ticket, this.#sign(ticket, organisation));
  }

  /** Returns `undefined` if the key is malformed or not signed for the organisation. */
  verifyKey(organisation: string, text: string): RequestKey | undefined {
    const key = parseRequestKey(text);
    if (key === undefined) return undefined;
    const expected = Buffer.from(this.#sign(key.ticket, organisation));
    const given = Buffer.from(key.signature);
    if (expected.length !== given.length) return undefined;
    return timingSafeEqual(expected, given) ? key : undefined;
  }

  #sign(ticket: Ticket, organisation: string): string {
    return createHmac("sha256", this.#options.secret)
      .update(ticketSigningText(ticket, organisation))
      .digest("base64url");
  }
}
