import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Customer, Release } from '@azurecart/protocol';
import { createUnauthenticated } from './apiErrors.js';

/**
 * Finds the customer of an API key.
 * @remarks Keys are looked up by their SHA-256 digest, so that the timing of the lookup reveals
 * nothing about the key itself.
 */
export class Authenticator {
  private release: Release | undefined;

  private customers = new Map<string, Customer>();

  /**
   * Gets the customer to whom the API key of a request belongs.
   * @throws ApiError when the key is missing or unknown.
   */
  getCustomerOrThrow(headers: IncomingHttpHeaders, release: Release): Customer {
    if (release !== this.release) this.indexCustomers(release);
    const key = /^Bearer (\S+)$/.exec(headers.authorization ?? '')?.[1] ?? '';
    const customer = this.customers.get(createHash('sha256').update(key).digest('hex'));
    if (!customer || key === '') throw createUnauthenticated();
    return customer;
  }

  private indexCustomers(release: Release): void {
    this.release = release;
    this.customers = new Map(
      release.customers.flatMap((customer) =>
        customer.keyHashes.map((hash): [string, Customer] => [hash, customer]),
      ),
    );
  }
}
