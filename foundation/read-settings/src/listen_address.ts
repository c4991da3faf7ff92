/** Listen addresses and the URLs derived from them. */

import * as v from "valibot";

const EXPECTED_FORMAT = "an address such as 127.0.0.1:8080 or [::1]:8080";
const ADDRESS_PATTERN = /^(?:\[([0-9a-fA-F:.]+)\]|([^\s:/[\]]+)):(\d{1,5})$/;
const MAX_PORT = 65_535;
const WILDCARD_HOSTS: readonly string[] = ["0.0.0.0", "::"];

export interface ListenAddress {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
}

export const LISTEN_ADDRESS_SCHEMA = v.pipe(
  v.string(EXPECTED_FORMAT),
  v.regex(ADDRESS_PATTERN, EXPECTED_FORMAT),
  v.transform(splitAddress),
  v.check(({ port }) => port <= MAX_PORT, EXPECTED_FORMAT),
);

export interface BoundAddress {
  readonly host: string;
  readonly port: number;
  readonly isTls: boolean;
}

/** Returns the URL of a server that is bound to the address. */
export function deriveUrl({ host, port, isTls }: BoundAddress): string {
  const urlHost = host.includes(":") ? `[${host}]` : host;
  return `${isTls ? "https" : "http"}://${urlHost}:${port}`;
}

/** Whether the host is a wildcard. No URL can be derived from a wildcard. */
export function isWildcard({ host }: ListenAddress): boolean {
  return WILDCARD_HOSTS.includes(host);
}

function splitAddress(text: string): ListenAddress {
  const [, bracketed, plain, port] = ADDRESS_PATTERN.exec(text) ?? [];
  return { host: bracketed ?? plain ?? "", port: Number(port) };
}
