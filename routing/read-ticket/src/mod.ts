/** Parses and formats tickets, request keys and attempt ids. */

export { formatAttemptId, parseAttemptId } from "./attempt_id.ts";
export type { AttemptIdParts } from "./attempt_id.ts";
export { DecidedNumbers } from "./decided_numbers.ts";
export {
  formatTicket,
  parseRequestKey,
  parseTicket,
  ticketSigningText,
} from "./ticket.ts";
export type { RequestKey, SignedTicket, Ticket } from "./ticket.ts";
