/**
 * Client link that sends tRPC calls over an `HttpPool`, as all other requests of
 * a process. Node's built-in `fetch` would load a second HTTP client.
 */

import { fetchAnswer, type HttpPool } from "@dandelionbank/open-http";
import { httpLink } from "@trpc/client";

export interface PeerLinkOptions {
  readonly pool: HttpPool;
  /** Path at which the peer serves its router, such as `/trpc`. */
  readonly path: string;
  readonly timeoutMs: number;
  readonly headers?: Readonly<Record<string, string>>;
}

interface FetchInit {
  readonly method?: string;
  readonly headers?: unknown;
  readonly body?: unknown;
}

interface FetchAnswer {
  readonly ok: boolean;
  json(): Promise<unknown>;
}

export function createPeerLink(
  options: PeerLinkOptions,
): ReturnType<typeof httpLink> {
  const { pool, path, headers } = options;
  return httpLink({
    url: `${pool.origin}${path}`,
    ...(headers === undefined ? {} : { headers }),
    fetch: (url, init) => fetchThroughPool(String(url), { init, options }),
  });
}

async function fetchThroughPool(
  url: string,
  { init, options: { pool, timeoutMs } }: {
    readonly init: FetchInit | undefined;
    readonly options: PeerLinkOptions;
  },
): Promise<FetchAnswer> {
  const answer = await fetchAnswer(pool, {
    method: init?.method ?? "GET",
    path: url.slice(pool.origin.length),
    headers: init?.headers as Record<string, string>,
    ...(typeof init?.body === "string" ? { body: init.body } : {}),
  }, { timeoutMs });
  return {
    ok: answer.status >= 200 && answer.status < 300,
    json: () => Promise.resolve(JSON.parse(answer.body.toString("utf8"))),
  };
}
