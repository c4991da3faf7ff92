/** Parses the bearer key of an `Authorization` header. */

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

export function readBearerKey(header: string | undefined): string | undefined {
  return BEARER_PATTERN.exec(header ?? "")?.[1];
}
