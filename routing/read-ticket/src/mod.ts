/** Tickets, request keys, attempt ids and the numbers in them. */

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
