"""Applies a memory account to what this process holds for its clients."""

from celeryward import body_memory
from celeryward import receive_buffers
from celeryward import unread_answers


def apply(account):
    """Bound what is held from now on.

    :param account: :class:`memory_account.MemoryAccount`.
    """
    body_memory.REQUESTS.limit = account.request_bytes
    body_memory.ANSWERS.limit = account.answer_bytes
    unread_answers.UNREAD_ANSWERS.limit = account.unread_bytes
    receive_buffers.LARGE_BUFFERS.most = account.large_buffers
