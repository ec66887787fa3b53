import type { ServiceId } from '@papayahill/common'
import type { ForwardContext } from './ForwardContext.js'
import type { ForwardRequest } from './types.js'

/** Whether a request must go over a peer; one that came from a peer goes no further. */
export const isCutOff = ({ reach }: Pick<ForwardContext, 'reach'>, { detoured }: ForwardRequest, service: ServiceId): boolean =>
  detoured === undefined && !reach.reaches(service)
