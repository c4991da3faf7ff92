/** Sends a call to an entry as a caller does, each over a new connection. */

import { type IncomingHttpHeaders, request } from "node:http";

export interface CallerReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** False if the connection closed before the end of the body. */
  readonly isComplete: boolean;
}

export interface CallerRequest {
  readonly key: string;
  readonly method?: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly onHead?: (headers: IncomingHttpHeaders) => void;
  readonly onData?: (text: string) => void;
}

/** Rejects only if the connection fails before a status is received. */
export function callEntry(
  entryUrl: string,
  call: CallerRequest,
): Promise<CallerReply> {
  return new Promise((resolve, reject) => {
    const outgoing = request(new URL(call.path, entryUrl), {
      method: call.method ?? (call.body === undefined ? "GET" : "POST"),
      agent: false,
      headers: {
        "authorization": `Bearer ${call.key}`,
        "content-type": "application/json",
        ...call.headers,
      },
    });
    outgoing.on("error", reject);
    outgoing.on("response", (response) => {
      let body = "";
      call.onHead?.(response.headers);
      response.setEncoding("utf8");
      response.on("data", (text: string) => {
        body += text;
        call.onData?.(text);
      });
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isComplete: response.complete,
        }));
    });
    outgoing.end(call.body);
  });
}

export interface AddressList {
  readonly addresses: readonly string[];
  readonly validityMs: number;
  readonly ticket: string;
}

/** Fetches the entries' addresses and an idempotency ticket. */
export async function fetchTicket(
  entryUrl: string,
  key: string,
): Promise<AddressList> {
  const reply = await callEntry(entryUrl, { key, path: "/v1/addresses" });
  if (reply.status !== 200) {
    throw new Error(
      `Address request answered ${reply.status}: ${reply.body}`,
    );
  }
  return JSON.parse(reply.body) as AddressList;
}
