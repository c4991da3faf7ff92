/**
 * Request routing of the entry `serve-entry`: the request task, its metrics and
 * its ticket signer.
 */

export { RequestMetrics } from "./request_metrics.ts";
export { RequestTask } from "./request_task.ts";
export type { RequestTaskOptions } from "./request_task.ts";
export { TicketSigner } from "./ticket_signer.ts";
