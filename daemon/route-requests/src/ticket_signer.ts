/**
 * Issues this entry's tickets and reads any entry's. A ticket is signed with
 * the secret that all processes share, for one organisation.
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

  /** The key, or `undefined` if it is none of this organisation's. */
  readKey(organisation: string, text: string): RequestKey | undefined {
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
