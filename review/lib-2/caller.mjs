/** Calls of the users' clients, each with an attempt id of its own. */

import { request } from "node:http";

let lastCall = 0;

/** Sends a request; resolves with its answer, or with why there was none. */
export function call({ host, port }, options) {
  const { path, routeHost, key, method = "POST", body = "x" } = options;
  const { headers = {}, agent = false, deadlineMs = 1_500 } = options;
  lastCall += 1;
  const id = `call-${lastCall}`;
  const sentAtMs = performance.now();
  const answer = new Promise((resolve) => {
    const settle = (fields) =>
      resolve({
        id,
        sentAtMs,
        tookMs: performance.now() - sentAtMs,
        ...fields,
      });
    const outgoing = request({
      host,
      port,
      path,
      method,
      agent,
      headers: {
        "host": routeHost,
        "x-dandelionbank-attempt-id": id,
        "x-dandelionbank-deadline-ms": String(deadlineMs),
        ...(key === undefined ? {} : { "x-dandelionbank-credential": key }),
        ...headers,
      },
    }, (response) => {
      let text = "";
      response.setEncoding("utf8");
      response.on("data", (part) => {
        text += part;
      });
      response.on("end", () =>
        settle({
          status: response.statusCode,
          headers: response.headers,
          body: text,
          isComplete: response.complete,
        }));
      response.on("error", () =>
        settle({
          status: response.statusCode,
          headers: response.headers,
          body: text,
          isComplete: false,
        }));
    });
    const timer = setTimeout(() => outgoing.destroy(), deadlineMs);
    outgoing.on("close", () => clearTimeout(timer));
    outgoing.on(
      "error",
      (error) => settle({ failure: error.code ?? "closed" }),
    );
    if (method === "GET") outgoing.end();
    else outgoing.end(body);
  });
  return { id, sentAtMs, answer };
}
