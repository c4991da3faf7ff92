/** Addresses to listen on, and the URLs that follow from them. */

import * as v from "valibot";

const EXPECTED = "an address such as 127.0.0.1:8080 or [::1]:8080";
const PATTERN = /^(?:\[([0-9a-fA-F:.]+)\]|([^\s:/[\]]+)):(\d{1,5})$/;
const MAX_PORT = 65_535;
const WILDCARD_HOSTS: readonly string[] = ["0.0.0.0", "::"];

export interface ListenAddress {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
}

export const LISTEN_ADDRESS_SCHEMA = v.pipe(
  v.string(EXPECTED),
  v.regex(PATTERN, EXPECTED),
  v.transform(splitAddress),
  v.check(({ port }) => port <= MAX_PORT, EXPECTED),
);

export interface BoundAddress {
  readonly host: string;
  readonly port: number;
  readonly isTls: boolean;
}

/** The URL of a server that is bound to an address. */
export function deriveUrl({ host, port, isTls }: BoundAddress): string {
  const shownHost = host.includes(":") ? `[${host}]` : host;
  return `${isTls ? "https" : "http"}://${shownHost}:${port}`;
}

/** Nobody can connect to a wildcard, so no URL follows from it. */
export function isWildcard({ host }: ListenAddress): boolean {
  return WILDCARD_HOSTS.includes(host);
}

function splitAddress(text: string): ListenAddress {
  const [, bracketed, plain, port] = PATTERN.exec(text) ?? [];
  return { host: bracketed ?? plain ?? "", port: Number(port) };
}
