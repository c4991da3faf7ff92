/**
 * Tickets and request keys.
 *
 * An entry issues a ticket along with its addresses. A caller derives request
 * keys from the ticket, so that each key names the entry that is its only
 * arbiter, the home entry. The times are milliseconds of the home entry's
 * monotonic clock. Only the home entry compares them with a clock; other
 * processes use them to order the tickets of one incarnation.
 *
 * The signature covers `ticketSigningText`, which includes the organisation, so
 * that a ticket of one organisation is not valid for another.
 */

export interface Ticket {
  /** Incarnation of the home entry. */
  readonly incarnation: string;
  /** Revision of the home entry's view when the ticket was issued. */
  readonly revision: number;
  readonly issuedAtMs: number;
  readonly expiresAtMs: number;
}

export interface SignedTicket {
  readonly ticket: Ticket;
  readonly signature: string;
}

/** The parts of a caller's request key. */
export interface RequestKey extends SignedTicket {
  /** The caller's own part of the key. */
  readonly suffix: string;
}

const TICKET_VERSION = "1";
const NUMBER_BASE = 36;
const MAX_KEY_CHARACTERS = 512;
const TICKET_FIELDS = 6;
const WORD = /^[A-Za-z0-9_-]+$/;
const NUMBER = /^[0-9a-z]{1,11}$/;
const SUFFIX = /^[\x21-\x7e]{1,128}$/;

/** Returns the text to sign for a ticket of an organisation. */
export function ticketSigningText(
  ticket: Ticket,
  organisation: string,
): string {
  return `${formatFields(ticket)}\n${organisation}`;
}

export function formatTicket(ticket: Ticket, signature: string): string {
  return `${formatFields(ticket)}.${signature}`;
}

/** Parses a ticket; returns `undefined` if the text is not one. */
export function parseTicket(text: string): SignedTicket | undefined {
  const fields = text.split(".");
  if (fields.length !== TICKET_FIELDS) return undefined;
  const [version, incarnation, revision, issued, expires, signature] =
    fields as [string, string, string, string, string, string];
  if (version !== TICKET_VERSION) return undefined;
  if (!WORD.test(incarnation) || !WORD.test(signature)) return undefined;
  if (![revision, issued, expires].every((field) => NUMBER.test(field))) {
    return undefined;
  }
  const ticket = {
    incarnation,
    revision: parseNumber(revision),
    issuedAtMs: parseNumber(issued),
    expiresAtMs: parseNumber(expires),
  };
  if (ticket.expiresAtMs < ticket.issuedAtMs) return undefined;
  return { ticket, signature };
}

/** Parses `TICKET/SUFFIX`; returns `undefined` if the text is not a key. */
export function parseRequestKey(text: string): RequestKey | undefined {
  if (text.length > MAX_KEY_CHARACTERS) return undefined;
  const slash = text.indexOf("/");
  if (slash < 0) return undefined;
  const suffix = text.slice(slash + 1);
  if (!SUFFIX.test(suffix)) return undefined;
  const signed = parseTicket(text.slice(0, slash));
  return signed && { ...signed, suffix };
}

function formatFields(ticket: Ticket): string {
  const numbers = [ticket.revision, ticket.issuedAtMs, ticket.expiresAtMs]
    .map((value) => Math.floor(value).toString(NUMBER_BASE));
  return [TICKET_VERSION, ticket.incarnation, ...numbers].join(".");
}

function parseNumber(text: string): number {
  return Number.parseInt(text, NUMBER_BASE);
}
