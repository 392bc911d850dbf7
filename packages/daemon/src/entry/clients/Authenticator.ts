import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Customer, Release } from '@azurecart/protocol';
import { createUnauthenticated } from './apiFaults.js';

/**
 * Finds the customer of an API key.
 * @remarks Keys are looked up by their SHA-256, so that the time of the look-up tells nothing
 * about the key itself.
 */
export class Authenticator {
  private release: Release | undefined;

  private customers = new Map<string, Customer>();

  /**
   * Gets the customer that a request's key belongs to.
   * @throws ApiFault when the key is missing or unknown.
   */
  getCustomerOrThrow(headers: IncomingHttpHeaders, release: Release): Customer {
    if (release !== this.release) this.index(release);
    const key = /^Bearer (\S+)$/.exec(headers.authorization ?? '')?.[1] ?? '';
    const customer = this.customers.get(createHash('sha256').update(key).digest('hex'));
    if (!customer || key === '') throw createUnauthenticated();
    return customer;
  }

  private index(release: Release): void {
    this.release = release;
    this.customers = new Map(
      release.customers.flatMap((customer) =>
        customer.keyHashes.map((hash): [string, Customer] => [hash, customer]),
      ),
    );
  }
}
